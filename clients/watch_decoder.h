// Decodes the answer to a watch of the key-value store a few changes at a time.
// The answer has no size limit: parsing it as one document would take a
// multiple of the answer's memory, and block the event loop until all changes
// are decoded.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/memorystream.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace oxbow::clients {

// Owns the answer: a JSON object in which one field is the array of changes.
// Unknown fields are skipped.
class WatchDecoder {
 public:
  enum class Progress : uint8_t { kMore, kDone, kMalformed };
  using OnChange = std::function<void(const rapidjson::Value& change)>;

  explicit WatchDecoder(std::string body);
  WatchDecoder(const WatchDecoder&) = delete;
  WatchDecoder& operator=(const WatchDecoder&) = delete;

  // Decodes up to `max_changes` more; calls `on_change` for each, in order.
  Progress Next(size_t max_changes, const OnChange& on_change);
  // The revision of the whole answer; valid once Next() has returned kDone.
  uint64_t revision() const { return revision_; }

 private:
  enum class State : uint8_t {
    kBegin,        // before the answer's object
    kFirstField,   // after the answer's opening brace
    kField,        // before the name of a field
    kFirstChange,  // after the opening bracket of the changes
    kChange,       // before a change
    kAfterChange,
    kAfterField,
    kEnd,  // after the answer's object
    kDone,
    kMalformed,
  };

  // Reads what the current state expects and returns the next state.
  State Advance(const OnChange& on_change);
  State ReadField();
  State ReadChange(const OnChange& on_change);
  // Consumes the character if it is the next one that is not white space.
  bool Take(char expected);
  // Reads one JSON value and ignores what follows it.
  bool Read(rapidjson::Document* value);

  const std::string body_;
  rapidjson::MemoryStream stream_;
  State state_ = State::kBegin;
  uint64_t revision_ = 0;
};

}  // namespace oxbow::clients
