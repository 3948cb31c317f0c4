// Reads the operators' tuning file: weights, limits and rates of the scheduler.
// The file has the syntax of libConfuse (named blocks), which is the closest to
// HCL among the C and C++ libraries that Debian packages.
#pragma once

#include <string>

#include "core/model/settings.h"

namespace oxbow::app {

// Reads the file into `out`; options that the file does not contain keep their
// values. Returns an empty string on success, else an error.
std::string LoadTuning(const std::string& path, Tuning* out);

}  // namespace oxbow::app
