// Defines the subcommands that talk to a deployment (rollout, tiers, calendar)
// for the command-line parser: names, arguments, help texts. Each function adds
// one subcommand that fills `command`, which must outlive the parser.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "cli/calendar_command.h"
#include "cli/rollout_command.h"
#include "cli/tiers_command.h"

namespace oxbow::cli {

CLI::App* AddRollout(CLI::App& cli, RolloutCommand* command);
// `config` receives the path of the settings that a file is checked against.
CLI::App* AddTiers(CLI::App& cli, TiersCommand* command, std::string* config);
CLI::App* AddCalendar(CLI::App& cli, CalendarCommand* command);

}  // namespace oxbow::cli
