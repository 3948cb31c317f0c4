// `oxbowbank tiers ...`: the operators' priority tiers.
#pragma once

#include <cstdint>
#include <string>

#include "core/model/settings.h"

namespace oxbow::cli {

// The arguments of the command.
struct TiersCommand {
  std::string verb;      // show, check, set, withdraw, history
  std::string address;   // of any controller; not for check
  std::string file;      // for check and set
  uint64_t version = 0;  // the version to replace; 0: no record yet
  std::string author;
  std::string note;
  bool json = false;
};

// Returns the exit code (cli/record_client.h). A file is checked
// against `settings` before it is sent; the deployment checks it again and
// decides.
int RunTiers(const TiersCommand& command, const Settings& settings);

}  // namespace oxbow::cli
