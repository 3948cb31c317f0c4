// The result of what may fail: a value, or a typed error. The interface of
// std::expected, until the language has it.
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
