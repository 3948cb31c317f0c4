// oxbowbank: the program. Subcommands are the operators' toolbox.

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "app/calendar_cli.h"
#include "app/controller_node.h"
#include "app/options.h"
#include "app/rollout_cli.h"
#include "app/settings.h"
#include "app/tiers_cli.h"
#include "core/model/timeouts.h"
#include "net/http_client.h"
#include "net/loop.h"
#include "wire/json.h"

namespace oxbow::app {
namespace {

constexpr int kBadSettings = 2;

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

// Who leads, and what the leader holds back. Not an error when an older
// controller does not know the question.
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
  if (!json::GetBool(doc, "here")) co_return;
  std::printf("machines: %llu recorded, %llu silent\n",
              static_cast<unsigned long long>(json::GetUint(doc, "machines")),
              static_cast<unsigned long long>(json::GetUint(doc, "silent")));
  const auto print = [&doc](const char* field, const char* before) {
    const auto* lines = json::Find(doc, field);
    if (lines == nullptr || !lines->IsArray()) return;
    for (const auto& line : lines->GetArray()) {
      if (line.IsString()) std::printf("%s%s\n", before, line.GetString());
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

CLI::App* AddCalendar(CLI::App& cli, CalendarCommand* command) {
  CLI::App* all =
      cli.add_subcommand("calendar", "windows and peaks for heavy work");
  all->require_subcommand(1);
  const auto add = [&](const char* verb, const char* help, bool id) {
    CLI::App* sub = all->add_subcommand(verb, help);
    sub->add_option("--address", command->address, "any controller, IP:PORT")
        ->required();
    if (id) sub->add_option("id", command->id, "the booking's id")->required();
    sub->callback([command, verb] { command->verb = verb; });
    return sub;
  };
  const auto mutations = [&](CLI::App* sub) {
    sub->add_option("--author", command->author, "who changes it")->required();
    sub->add_option("--note", command->note, "why");
    sub->add_option("--notice", command->notice_seconds,
                    "what a rule has sooner is left out, s");
    return sub;
  };
  const auto declares = [&](CLI::App* sub) {
    sub->add_option("file", command->file, "a declaration")->required();
    return sub;
  };
  const auto replaces = [&](CLI::App* sub) {
    sub->add_option("--version", command->version,
                    "the version that it replaces; -1: whichever is there");
  };
  replaces(declares(mutations(add("book", "book, or change a booking", true))));
  replaces(mutations(add("cancel", "cancel a booking", true)));
  mutations(add("extend", "work the rules' times out further ahead", false));
  add("list", "all bookings", false);
  add("show", "one booking, with its times", true);
  CLI::App* check = declares(add("check", "look at a declaration only", true));
  check->add_option("--config", command->config,
                    "the platform's settings file (JSON): checks names too");
  CLI::App* next = add("next", "when work may start", false);
  next->add_option("--class", command->job_class, "of the work");
  next->add_option("--team", command->team, "of the work");
  next->add_option("--cores", command->cores, "of all its tasks");
  next->add_option("--accelerators", command->accelerators, "of all its tasks");
  next->add_option("--run", command->run_seconds, "of one task, s");
  return all;
}

int Main(int argc, char** argv) {
  CLI::App cli("A cluster scheduler for services, training and batch work.");
  cli.require_subcommand(1);
  std::string config;
  std::string tuning_path;
  const auto with_config = [&](CLI::App* sub) {
    sub->add_option("--config", config, "the platform's settings file (JSON)")
        ->required();
    sub->add_option("--tuning", tuning_path,
                    "the operators' file (weights and pacing)");
    return sub;
  };
  const CLI::App* serve =
      with_config(cli.add_subcommand("serve", "run a controller"));
  const CLI::App* check = with_config(
      cli.add_subcommand("check-config", "check the settings and end"));
  with_config(
      cli.add_subcommand("status", "ask the controller if it is ready"));
  RolloutCommand rollout;
  CLI::App* rollouts =
      cli.add_subcommand("rollout", "replace a service, held to a floor");
  rollouts->require_subcommand(1);
  const auto add = [&](const char* verb, const char* help, const char* subject,
                       bool required) {
    CLI::App* sub = rollouts->add_subcommand(verb, help);
    sub->add_option("--address", rollout.address, "any controller, IP:PORT")
        ->required();
    sub->add_flag("--json", rollout.json, "print answers as they came");
    CLI::Option* option =
        sub->add_option(subject, rollout.subject, "the roll-out's id");
    if (std::string(subject) == "file") option->description("a declaration");
    if (required) option->required();
    sub->callback([&rollout, verb] { rollout.verb = verb; });
  };
  add("start", "declare a roll-out", "file", true);
  add("status", "show one or all", "id", false);
  add("watch", "follow one to its end", "id", true);
  add("pause", "hold one where it is", "id", true);
  add("resume", "let a paused one go on", "id", true);
  add("abort", "take one back", "id", true);
  TiersCommand tiers_command;
  CLI::App* tiers = cli.add_subcommand("tiers", "priority tiers of jobs");
  tiers->require_subcommand(1);
  const auto add_tiers = [&](const char* verb, const char* help) {
    CLI::App* sub = tiers->add_subcommand(verb, help);
    const std::string name = verb;
    const bool file = name == "check" || name == "set";
    const bool mutations = name == "set" || name == "withdraw";
    sub->add_option("--config", config,
                    "the settings that a file is checked against");
    if (file) sub->add_option("file", tiers_command.file)->required();
    if (name != "check") {
      sub->add_option("--address", tiers_command.address,
                      "any controller, IP:PORT")
          ->required();
      sub->add_flag("--json", tiers_command.json, "print texts as they came");
    }
    if (mutations) {
      sub->add_option("--version", tiers_command.version,
                      "the version that is replaced; 0: there is none")
          ->required();
      sub->add_option("--author", tiers_command.author, "who changes it");
      sub->add_option("--note", tiers_command.note, "why");
    }
    sub->callback([&tiers_command, verb] { tiers_command.verb = verb; });
  };
  add_tiers("show", "the tiers as recorded");
  add_tiers("check", "check a file and show what it means");
  add_tiers("set", "record a file's tiers");
  add_tiers("withdraw", "go back to the built-in order");
  add_tiers("history", "the versions that are kept");
  CalendarCommand calendar;
  CLI::App* calendars = AddCalendar(cli, &calendar);
  CLI11_PARSE(cli, argc, argv);
  if (calendars->parsed()) return RunCalendar(calendar);
  if (tiers->parsed()) {
    Settings settings;
    if (!config.empty()) {
      Tuning tuning;
      const int error = Load(config, "", &settings, &tuning);
      if (error != 0) return error;
    }
    return RunTiers(tiers_command, settings);
  }
  if (rollouts->parsed()) return RunRollout(rollout);
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
