// What a case writes down: one line for each thing that was sent, answered or
// run, with the seconds since the case began.
#pragma once

#include <cstdio>
#include <string>

#include "net/loop.h"

namespace oxbow::review {

class Record {
 public:
  // Writes to the file at `path`, which is replaced.
  Record(net::Loop& loop, const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  // Seconds since the case began.
  double Now() const { return loop_.Now() - began_; }
  void Write(const std::string& line);

 private:
  net::Loop& loop_;
  const double began_;
  std::FILE* file_;
};

}  // namespace oxbow::review
