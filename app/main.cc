// The oxbowbank program: runs a controller, or one of the operators' commands.

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "app/controller_node.h"
#include "app/options.h"
#include "app/settings.h"
#include "cli/command_line.h"
#include "core/model/timeouts.h"
#include "net/http_client.h"
#include "net/loop.h"
#include "wire/json.h"

namespace oxbow::app {
namespace {

constexpr int kBadSettings = 2;  // exit status

bool SetUpLog() {
  spdlog::set_default_logger(spdlog::stderr_logger_st("oxbowbank"));
  spdlog::set_pattern("%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level == nullptr ? "info" : level;
  if (name == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (name == "info" || name.empty()) {
    spdlog::set_level(spdlog::level::info);
  } else if (name == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    std::fprintf(stderr, "LOG_LEVEL must be error, info or debug, not %s\n",
                 name.c_str());
    return false;
  }
  return true;
}

int Load(const std::string& config, const std::string& tuning_path,
         Settings* settings, Tuning* tuning) {
  std::string error = LoadSettings(config, settings);
  if (error.empty() && !tuning_path.empty()) {
    error = LoadTuning(tuning_path, tuning);
  }
  if (error.empty()) {
    const auto conflict = SilenceTimeouts::From(settings->workers, *tuning)
                              .FindConflict(settings->workers);
    if (conflict) error = Describe(*conflict);
  }
  if (error.empty()) return 0;
  std::fprintf(stderr, "%s\n", error.c_str());
  return kBadSettings;
}

int Serve(const Settings& settings, const Tuning& tuning) {
  net::Loop loop;
  ControllerNode node(loop, settings, tuning);
  node.Start();
  loop.Run();
  return 0;
}

void PrintConnections(const rapidjson::Document& doc) {
  const auto* connections = json::Find(doc, "connections");
  if (connections == nullptr || !connections->IsObject()) return;
  for (const auto& count : connections->GetObject()) {
    std::printf("connections, %s: %g\n", count.name.GetString(),
                count.value.IsNumber() ? count.value.GetDouble() : 0);
  }
}

// Prints the counters that the controller has kept since its start.
void PrintCounters(const rapidjson::Document& doc) {
  std::printf("questions answered: %llu, withheld for %.1f s at the longest\n",
              static_cast<unsigned long long>(json::GetUint(doc, "answered")),
              json::GetDouble(doc, "oldest_withheld_s"));
  std::printf("longest stall: %.3f s\n",
              json::GetDouble(doc, "longest_stall_s"));
  PrintConnections(doc);
  const auto* withheld = json::Find(doc, "withheld");
  if (withheld == nullptr || !withheld->IsObject()) return;
  for (const auto& reason : withheld->GetObject()) {
    if (!reason.value.IsUint64() || reason.value.GetUint64() == 0) continue;
    std::printf("withheld, %s: %llu\n", reason.name.GetString(),
                static_cast<unsigned long long>(reason.value.GetUint64()));
  }
}

// Prints the leader's counters about commands to workers; nothing if it is of a
// version that has none.
void PrintCommandCounters(const rapidjson::Value& doc) {
  const auto* commands = json::Find(doc, "commands");
  if (commands == nullptr || !commands->IsObject()) return;
  const auto print = [](const rapidjson::Value& counts, const char* prefix) {
    for (const auto& count : counts.GetObject()) {
      if (!count.value.IsUint64()) continue;
      std::printf("%s%s: %llu\n", prefix, count.name.GetString(),
                  static_cast<unsigned long long>(count.value.GetUint64()));
    }
  };
  print(*commands, "commands, ");
  const auto* raised = json::Find(*commands, "tokens_raised");
  if (raised != nullptr && raised->IsObject()) {
    print(*raised, "fencing tokens raised, ");
  }
}

// Prints which controller leads and, if the controller that was asked is the
// leader, its alarms and what it delays. Prints nothing if there is no valid
// answer, because a controller of an older version does not have this path.
net::Task<void> PrintLeader(net::HttpClient& client) {
  constexpr net::Time kTimeout = 2;
  const net::ClientResult answer =
      co_await client.Request("GET", "/v2/leader", "", kTimeout);
  rapidjson::Document doc;
  if (!answer.ok() || !json::Parse(answer.body, &doc) || !doc.IsObject()) {
    co_return;
  }
  const std::string leader = json::GetString(doc, "leader");
  std::printf("leader: %s\n", leader.empty() ? "none" : leader.c_str());
  PrintCounters(doc);
  if (!json::GetBool(doc, "here")) co_return;
  std::printf("machines: %llu recorded, %llu silent\n",
              static_cast<unsigned long long>(json::GetUint(doc, "machines")),
              static_cast<unsigned long long>(json::GetUint(doc, "silent")));
  std::printf(
      "leases expired of workers that were alive: %llu\n",
      static_cast<unsigned long long>(json::GetUint(doc, "expired_leases")));
  PrintCommandCounters(doc);
  const auto print = [&doc](const char* field, const char* prefix) {
    const auto* lines = json::Find(doc, field);
    if (lines == nullptr || !lines->IsArray()) return;
    for (const auto& line : lines->GetArray()) {
      if (line.IsString()) std::printf("%s%s\n", prefix, line.GetString());
    }
  };
  print("alarms", "alarm: ");
  print("waiting", "");
}

net::Task<void> AskStatus(net::Loop& loop, net::Address address, int* exit) {
  constexpr net::Time kTimeout = 2;
  constexpr size_t kLimit = 64 * 1024;
  net::HttpClient client(loop, address, kLimit);
  const net::ClientResult answer =
      co_await client.Request("GET", "/ready", "", kTimeout);
  if (answer.outcome != net::Outcome::kAnswered) {
    std::printf("%s: no answer\n", address.ToString().c_str());
    *exit = 1;
  } else {
    std::printf("%s: %s\n", address.ToString().c_str(),
                answer.status == 200 ? "ready" : "not ready");
    *exit = answer.status == 200 ? 0 : 1;
    co_await PrintLeader(client);
  }
  loop.Stop();
}

int Status(const Settings& settings) {
  net::Loop loop;
  net::Address address;
  net::ParseAddress(settings.listen, &address);
  int exit = 1;
  net::Spawn(AskStatus(loop, address, &exit));
  loop.Run();
  return exit;
}

int RunTiers(const cli::TiersCommand& command, const std::string& config) {
  Settings settings;
  if (!config.empty()) {
    Tuning tuning;
    const int error = Load(config, "", &settings, &tuning);
    if (error != 0) return error;
  }
  return cli::RunTiers(command, settings);
}

int Main(int argc, char** argv) {
  CLI::App parser("A cluster scheduler for services, training and batch work.");
  parser.require_subcommand(1);
  std::string config;
  std::string tuning_path;
  const auto with_config = [&](CLI::App* sub) {
    sub->add_option("--config", config, "the platform's settings file (JSON)")
        ->required();
    sub->add_option("--tuning", tuning_path,
                    "the operators' tuning file (weights, limits and rates)");
    return sub;
  };
  const CLI::App* serve =
      with_config(parser.add_subcommand("serve", "run a controller"));
  const CLI::App* check = with_config(
      parser.add_subcommand("check-config", "check the settings and exit"));
  with_config(
      parser.add_subcommand("status", "ask the controller if it is ready"));
  cli::RolloutCommand rollout;
  const CLI::App* rollouts = cli::AddRollout(parser, &rollout);
  cli::TiersCommand tiers_command;
  const CLI::App* tiers = cli::AddTiers(parser, &tiers_command, &config);
  cli::CalendarCommand calendar;
  const CLI::App* calendars = cli::AddCalendar(parser, &calendar);
  CLI11_PARSE(parser, argc, argv);
  if (calendars->parsed()) return cli::RunCalendar(calendar);
  if (tiers->parsed()) return RunTiers(tiers_command, config);
  if (rollouts->parsed()) return cli::RunRollout(rollout);
  if (!SetUpLog()) return kBadSettings;
  Settings settings;
  Tuning tuning;
  const int error = Load(config, tuning_path, &settings, &tuning);
  if (error != 0) return error;
  if (check->parsed()) {
    std::printf("%s: good\n", config.c_str());
    return 0;
  }
  if (serve->parsed()) return Serve(settings, tuning);
  return Status(settings);
}

}  // namespace
}  // namespace oxbow::app

int main(int argc, char** argv) {
  try {
    return oxbow::app::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "oxbowbank: %s\n", error.what());
    return 1;
  }
}
