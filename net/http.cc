#include "net/http.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace oxbow::net {
namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool ContainsToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    list = comma == std::string_view::npos ? "" : list.substr(comma + 1);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
      item.remove_prefix(1);
    }
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
      item.remove_suffix(1);
    }
    if (EqualsIgnoreCase(item, token)) return true;
  }
  return false;
}

bool IsTokenChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

template <typename Number>
bool ParseNumber(std::string_view text, Number* out, int base = 10) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *out, base);
  return !text.empty() && error == std::errc() &&
         end == text.data() + text.size();
}

}  // namespace

std::string_view HttpRequest::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) return {};
  std::string_view rest = std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    const size_t amp = rest.find('&');
    const std::string_view pair = rest.substr(0, amp);
    rest = amp == std::string_view::npos ? "" : rest.substr(amp + 1);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    }
  }
  return {};
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string Serialize(const HttpResponse& response) {
  std::string out;
  out.reserve(160 + response.body.size());
  out += "HTTP/1.1 ";
  out += std::to_string(response.status);
  out += ' ';
  out += ReasonPhrase(response.status);
  out += "\r\nContent-Type: application/json\r\nContent-Length: ";
  out += std::to_string(response.body.size());
  if (response.retry_after_seconds > 0) {
    out += "\r\nRetry-After: ";
    out += std::to_string(response.retry_after_seconds);
  }
  if (!response.allow.empty()) {
    out += "\r\nAllow: ";
    out += response.allow;
  }
  if (!response.keep_alive) out += "\r\nConnection: close";
  out += "\r\n\r\n";
  out += response.body;
  return out;
}

std::string SerializeRequest(std::string_view method, std::string_view target,
                             std::string_view host, std::string_view body) {
  std::string out;
  out.reserve(128 + target.size() + body.size());
  out += method;
  out += ' ';
  out += target;
  out += " HTTP/1.1\r\nHost: ";
  out += host;
  if (!body.empty() || method == "POST") {
    out += "\r\nContent-Type: application/json\r\nContent-Length: ";
    out += std::to_string(body.size());
  }
  out += "\r\n\r\n";
  out += body;
  return out;
}

// The only function that changes the parser's state.
void HttpParser::Become(State next) {
  if (state_ == State::kFailed ||
      (state_ == State::kDone && next != State::kStartLine)) {
    return;
  }
  state_ = next;
}

void HttpParser::Fail(int status) {
  error_status_ = status;
  Become(State::kFailed);
}

void HttpParser::Reset() { *this = HttpParser(kind_, limits_); }

size_t HttpParser::Feed(std::string_view data) {
  size_t used = 0;
  while (used < data.size() && !done() && !failed()) {
    started_ = true;
    switch (state_) {
      case State::kStartLine:
      case State::kHeaders:
      case State::kChunkSize:
      case State::kChunkEnd:
      case State::kTrailers: {
        const size_t end = data.find('\n', used);
        const size_t stop =
            end == std::string_view::npos ? data.size() : end + 1;
        header_bytes_ += stop - used;
        if (header_bytes_ > limits_.header_bytes) {
          Fail(431);
          return used;
        }
        line_.append(data.substr(used, stop - used));
        used = stop;
        if (end == std::string_view::npos) break;
        line_.pop_back();
        if (!line_.empty() && line_.back() == '\r') line_.pop_back();
        std::string line = std::move(line_);
        line_.clear();
        OnLine(line);
        break;
      }
      case State::kBody:
      case State::kChunkData: {
        const size_t take = std::min(remaining_, data.size() - used);
        request_.body.append(data.substr(used, take));
        used += take;
        remaining_ -= take;
        if (remaining_ == 0) {
          Become(state_ == State::kBody ? State::kDone : State::kChunkEnd);
        }
        break;
      }
      case State::kUntilClose:
        if (request_.body.size() + data.size() - used > limits_.body_bytes) {
          Fail(413);
          return used;
        }
        request_.body.append(data.substr(used));
        used = data.size();
        break;
      case State::kDone:
      case State::kFailed:
        break;
    }
  }
  return used;
}

void HttpParser::Finish() {
  if (state_ == State::kUntilClose) {
    Become(State::kDone);
  } else if (!done()) {
    Fail(400);
  }
}

void HttpParser::OnLine(std::string_view line) {
  switch (state_) {
    case State::kStartLine:
      // Ignores blank lines before a message, as RFC 9112 requires.
      if (!line.empty()) OnStartLine(line);
      return;
    case State::kHeaders:
      if (line.empty()) {
        OnHeadersEnd();
      } else {
        OnHeader(line);
      }
      return;
    case State::kChunkSize:
      OnChunkSize(line);
      return;
    case State::kChunkEnd:
      if (!line.empty()) return Fail(400);
      // The body limit bounds the chunk lines; the header limit does not apply.
      header_bytes_ = 0;
      return Become(State::kChunkSize);
    case State::kTrailers:
      if (line.empty()) Become(State::kDone);
      return;
    default:
      return;
  }
}

void HttpParser::OnStartLine(std::string_view line) {
  const size_t first = line.find(' ');
  if (first == std::string_view::npos) return Fail(400);
  std::string_view version;
  if (kind_ == Kind::kRequest) {
    const size_t second = line.find(' ', first + 1);
    if (second == std::string_view::npos) return Fail(400);
    request_.method = std::string(line.substr(0, first));
    request_.target = std::string(line.substr(first + 1, second - first - 1));
    version = line.substr(second + 1);
    if (!std::all_of(request_.method.begin(), request_.method.end(),
                     IsTokenChar) ||
        request_.method.empty() || request_.target.empty() ||
        request_.target[0] != '/') {
      return Fail(400);
    }
    for (const unsigned char c : request_.target) {
      if (c <= 0x20 || c == 0x7f) return Fail(400);
    }
  } else {
    version = line.substr(0, first);
    if (!ParseNumber(line.substr(first + 1, 3), &status_) || status_ < 100 ||
        status_ > 599) {
      return Fail(400);
    }
  }
  if (version == "HTTP/1.0") {
    request_.keep_alive = false;
  } else if (version != "HTTP/1.1") {
    return Fail(400);
  }
  Become(State::kHeaders);
}

void HttpParser::OnHeader(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return Fail(400);
  const std::string_view name = line.substr(0, colon);
  if (!std::all_of(name.begin(), name.end(), IsTokenChar)) return Fail(400);
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
    value.remove_suffix(1);
  }
  if (EqualsIgnoreCase(name, "Content-Length")) {
    size_t length = 0;
    if (!ParseNumber(value, &length)) return Fail(400);
    // Different lengths in one message allow request smuggling.
    if (has_length_ && length != remaining_) return Fail(400);
    has_length_ = true;
    remaining_ = length;
  } else if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
    if (!EqualsIgnoreCase(value, "chunked")) return Fail(501);
    chunked_ = true;
  } else if (EqualsIgnoreCase(name, "Connection")) {
    if (ContainsToken(value, "close")) request_.keep_alive = false;
    if (ContainsToken(value, "keep-alive")) request_.keep_alive = true;
  } else if (EqualsIgnoreCase(name, "Retry-After")) {
    int seconds = 0;
    if (ParseNumber(value, &seconds)) retry_after_seconds_ = seconds;
  }
}

void HttpParser::OnHeadersEnd() {
  header_bytes_ = 0;
  if (chunked_) {
    if (has_length_) return Fail(400);
    return Become(State::kChunkSize);
  }
  if (has_length_) {
    if (remaining_ > limits_.body_bytes) return Fail(413);
    return Become(remaining_ == 0 ? State::kDone : State::kBody);
  }
  if (kind_ == Kind::kResponse && status_ != 204 && status_ != 304) {
    request_.keep_alive = false;
    return Become(State::kUntilClose);
  }
  Become(State::kDone);
}

void HttpParser::OnChunkSize(std::string_view line) {
  line = line.substr(0, line.find(';'));
  while (!line.empty() && line.back() == ' ') line.remove_suffix(1);
  size_t size = 0;
  if (!ParseNumber(line, &size, 16)) return Fail(400);
  if (size > limits_.body_bytes ||
      request_.body.size() + size > limits_.body_bytes) {
    return Fail(413);
  }
  remaining_ = size;
  Become(size == 0 ? State::kTrailers : State::kChunkData);
}

}  // namespace oxbow::net
