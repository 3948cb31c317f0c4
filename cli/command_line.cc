#include "cli/command_line.h"

namespace oxbow::cli {

CLI::App* AddRollout(CLI::App& cli, RolloutCommand* command) {
  CLI::App* rollouts =
      cli.add_subcommand("rollout", "replace a service, held to a floor");
  rollouts->require_subcommand(1);
  const auto add = [&](const char* verb, const char* help, const char* subject,
                       bool required) {
    CLI::App* sub = rollouts->add_subcommand(verb, help);
    sub->add_option("--address", command->address, "any controller, IP:PORT")
        ->required();
    sub->add_flag("--json", command->json, "print answers as they came");
    CLI::Option* option =
        sub->add_option(subject, command->subject, "the roll-out's id");
    if (std::string(subject) == "file") option->description("a declaration");
    if (required) option->required();
    sub->callback([command, verb] { command->verb = verb; });
  };
  add("start", "declare a roll-out", "file", true);
  add("status", "show one or all", "id", false);
  add("watch", "follow one to its end", "id", true);
  add("pause", "hold one where it is", "id", true);
  add("resume", "let a paused one go on", "id", true);
  add("abort", "take one back", "id", true);
  return rollouts;
}

CLI::App* AddTiers(CLI::App& cli, TiersCommand* command, std::string* config) {
  CLI::App* tiers = cli.add_subcommand("tiers", "priority tiers of jobs");
  tiers->require_subcommand(1);
  const auto add_tiers = [&](const char* verb, const char* help) {
    CLI::App* sub = tiers->add_subcommand(verb, help);
    const std::string name = verb;
    const bool file = name == "check" || name == "set";
    const bool mutations = name == "set" || name == "withdraw";
    sub->add_option("--config", *config,
                    "the settings that a file is checked against");
    if (file) sub->add_option("file", command->file)->required();
    if (name != "check") {
      sub->add_option("--address", command->address, "any controller, IP:PORT")
          ->required();
      sub->add_flag("--json", command->json, "print texts as they came");
    }
    if (mutations) {
      sub->add_option("--version", command->version,
                      "the version that is replaced; 0: there is none")
          ->required();
      sub->add_option("--author", command->author, "who changes it");
      sub->add_option("--note", command->note, "why");
    }
    sub->callback([command, verb] { command->verb = verb; });
  };
  add_tiers("show", "the tiers as recorded");
  add_tiers("check", "check a file and show what it means");
  add_tiers("set", "record a file's tiers");
  add_tiers("withdraw", "go back to the built-in order");
  add_tiers("history", "the versions that are kept");
  return tiers;
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

}  // namespace oxbow::cli
