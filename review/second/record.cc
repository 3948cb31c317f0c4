#include "review/second/record.h"

#include <fmt/format.h>

namespace oxbow::review {

Record::Record(net::Loop& loop, const std::string& path)
    : loop_(loop),
      began_(loop.Refresh()),
      file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) std::fclose(file_);
}

void Record::Write(const std::string& line) {
  loop_.Refresh();
  const std::string text = fmt::format("{:8.3f} {}\n", Now(), line);
  std::fputs(text.c_str(), stdout);
  if (file_ == nullptr) return;
  std::fputs(text.c_str(), file_);
  std::fflush(file_);
}

}  // namespace oxbow::review
