// HTTP/1.1 messages and an incremental parser for requests and responses.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oxbow::net {

// A request as received. Header fields that the project does not use are
// dropped by the parser.
struct HttpRequest {
  std::string method;
  std::string target;  // as sent: path and query
  std::string body;
  bool keep_alive = true;

  std::string_view path() const;
  // Value of a query parameter; empty when absent. No percent decoding.
  std::string_view query(std::string_view name) const;
};

// A response to be sent. `body` is JSON or empty.
struct HttpResponse {
  int status = 200;
  std::string body;
  int retry_after_seconds = 0;  // sent when above 0
  std::string_view allow;       // sent when not empty
  bool keep_alive = true;
};

// The reason phrase of the status line, such as "Not Found".
std::string_view ReasonPhrase(int status);
// Returns the bytes of a whole message.
std::string Serialize(const HttpResponse& response);
std::string SerializeRequest(std::string_view method, std::string_view target,
                             std::string_view host, std::string_view body);

// Parses one message at a time from pieces of any size. Bytes after the end of
// the message are not consumed.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State {
    kStartLine,
    kHeaders,
    kBody,
    kUntilClose,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailers,
    kDone,
    kFailed,
  };
  struct Limits {
    size_t header_bytes = 8 * 1024;
    size_t body_bytes = 64 * 1024;
  };

  HttpParser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Consumes a prefix of the data and returns its length.
  size_t Feed(std::string_view data);
  // Call at the end of the stream: completes a body without a length, and fails
  // any other unfinished message.
  void Finish();
  void Reset();

  State state() const { return state_; }
  bool done() const { return state_ == State::kDone; }
  bool failed() const { return state_ == State::kFailed; }
  bool started() const { return started_; }
  // The HTTP status with which to refuse the request after a failure: 400, 413,
  // 431 or 501.
  int error_status() const { return error_status_; }

  HttpRequest& request() { return request_; }
  int status() const { return status_; }
  std::string& body() { return request_.body; }
  bool keep_alive() const { return request_.keep_alive; }
  int retry_after_seconds() const { return retry_after_seconds_; }

 private:
  void Become(State next);
  void Fail(int status);
  void OnLine(std::string_view line);
  void OnStartLine(std::string_view line);
  void OnHeader(std::string_view line);
  void OnHeadersEnd();
  void OnChunkSize(std::string_view line);

  Kind kind_;
  Limits limits_;
  State state_ = State::kStartLine;
  bool started_ = false;
  int error_status_ = 400;
  std::string line_;
  size_t header_bytes_ = 0;
  bool has_length_ = false;
  bool chunked_ = false;
  size_t remaining_ = 0;
  int status_ = 0;
  int retry_after_seconds_ = 0;
  HttpRequest request_;
};

}  // namespace oxbow::net
