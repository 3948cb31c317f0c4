// The result of an operation that may fail: a value or a typed error. Has the
// interface of std::expected, which C++20 lacks.
#pragma once

#include <tl/expected.hpp>

namespace oxbow {

template <typename Value, typename Error>
using Expected = tl::expected<Value, Error>;

// `return Unexpected(Error{...});`
template <typename Error>
tl::unexpected<std::decay_t<Error>> Unexpected(Error&& error) {
  return tl::unexpected<std::decay_t<Error>>(std::forward<Error>(error));
}

}  // namespace oxbow
