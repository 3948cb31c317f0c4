// Reads the platform's settings file, which is in JSON. Unknown fields are
// ignored.
#pragma once

#include <string>

#include "core/model/settings.h"

namespace oxbow::app {

// Parses the text of the settings file. Returns an empty string on success,
// else an error that names the invalid field; `out` may then be partly filled.
std::string ParseSettings(const std::string& text, Settings* out);
// Reads the file and parses it as ParseSettings() does. An error also names the
// file.
std::string LoadSettings(const std::string& path, Settings* out);

}  // namespace oxbow::app
