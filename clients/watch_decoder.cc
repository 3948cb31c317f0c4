#include "clients/watch_decoder.h"

#include <rapidjson/reader.h>

#include <string_view>
#include <utility>

#include "wire/json.h"

namespace oxbow::clients {
namespace {

// Field names of the key-value store's protocol.
constexpr std::string_view kLogField = "log";
constexpr std::string_view kRevisionField = "ledger_no";

}  // namespace

WatchDecoder::WatchDecoder(std::string body)
    : body_(std::move(body)), stream_(body_.data(), body_.size()) {}

WatchDecoder::Progress WatchDecoder::Next(size_t max_changes,
                                          const OnChange& on_change) {
  size_t decoded = 0;
  while (state_ != State::kDone && state_ != State::kMalformed) {
    if (decoded == max_changes) return Progress::kMore;
    const State next = Advance(on_change);
    if (next == State::kAfterChange) ++decoded;
    state_ = next;
  }
  return state_ == State::kDone ? Progress::kDone : Progress::kMalformed;
}

WatchDecoder::State WatchDecoder::Advance(const OnChange& on_change) {
  switch (state_) {
    case State::kBegin:
      return Take('{') ? State::kFirstField : State::kMalformed;
    case State::kFirstField:
      return Take('}') ? State::kEnd : State::kField;
    case State::kField:
      return ReadField();
    case State::kFirstChange:
      return Take(']') ? State::kAfterField : State::kChange;
    case State::kChange:
      return ReadChange(on_change);
    case State::kAfterChange:
      if (Take(',')) return State::kChange;
      return Take(']') ? State::kAfterField : State::kMalformed;
    case State::kAfterField:
      if (Take(',')) return State::kField;
      return Take('}') ? State::kEnd : State::kMalformed;
    case State::kEnd:
      rapidjson::SkipWhitespace(stream_);
      return stream_.Tell() == body_.size() ? State::kDone : State::kMalformed;
    case State::kDone:
    case State::kMalformed:
      break;
  }
  return state_;
}

WatchDecoder::State WatchDecoder::ReadField() {
  rapidjson::Document name;
  if (!Read(&name) || !name.IsString() || !Take(':')) return State::kMalformed;
  if (json::View(name) == kLogField && Take('[')) return State::kFirstChange;
  rapidjson::Document value;
  if (!Read(&value)) return State::kMalformed;
  if (json::View(name) == kRevisionField && value.IsUint64()) {
    revision_ = value.GetUint64();
  }
  return State::kAfterField;
}

WatchDecoder::State WatchDecoder::ReadChange(const OnChange& on_change) {
  rapidjson::Document change;
  if (!Read(&change)) return State::kMalformed;
  on_change(change);
  return State::kAfterChange;
}

bool WatchDecoder::Take(char expected) {
  rapidjson::SkipWhitespace(stream_);
  if (stream_.Tell() == body_.size() || stream_.Peek() != expected) {
    return false;
  }
  stream_.Take();
  return true;
}

bool WatchDecoder::Read(rapidjson::Document* value) {
  value->ParseStream<rapidjson::kParseStopWhenDoneFlag>(stream_);
  return !value->HasParseError();
}

}  // namespace oxbow::clients
