#include "cli/tiers_command.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <iterator>

#include "cli/record_client.h"
#include "core/priority_tiers/tier_set.h"
#include "wire/names.h"
#include "wire/tiers_json.h"

namespace oxbow::cli {
namespace {

using Result = RecordClient::Result;

const std::string kName(wire::kTiersRecord);

// Reads and checks the file. On an error, writes one line to standard error and
// returns false.
bool ReadFile(const TiersCommand& command, const Settings& settings,
              std::string* text, std::vector<Tier>* tiers) {
  std::ifstream file(command.file);
  *text = {std::istreambuf_iterator<char>(file), {}};
  if (!file || text->empty()) {
    std::fprintf(stderr, "cannot read %s\n", command.file.c_str());
    return false;
  }
  const std::string why =
      wire::ReadTiers(*text, TierBounds::From(settings), tiers);
  if (why.empty()) return true;
  std::fprintf(stderr, "%s: %s\n", command.file.c_str(), why.c_str());
  return false;
}

template <typename List, typename Name>
void AddList(std::string* out, const char* key, const List& list,
             const Name& name) {
  if (list.empty()) return;
  if (!out->empty()) *out += "; ";
  *out += key;
  for (const auto& item : list) {
    *out += ' ';
    *out += name(item);
  }
}

std::string MatchText(const TierMatch& match) {
  const auto word = [](const std::string& text) { return text; };
  std::string out;
  AddList(&out, "duty", match.classes, word);
  AddList(&out, "crew", match.teams, word);
  AddList(&out, "standing", match.priorities,
          [](Priority p) { return wire::NameOf(wire::kPriorities, p); });
  AddList(&out, "form", match.kinds,
          [](JobKind k) { return wire::NameOf(wire::kJobKinds, k); });
  return out.empty() ? "everything else" : out;
}

void PrintTiers(const TierSet& set) {
  for (size_t place = 0; place < set.size(); ++place) {
    const Tier& tier = set.at(place);
    std::printf("%zu %s: %s; kept %g, at most %g, a turn after %g s\n", place,
                tier.name.c_str(),
                place + 1 == set.size() ? "what no other matches"
                                        : MatchText(tier.match).c_str(),
                tier.headroom_share, tier.max_share, tier.turn_wait_seconds);
  }
}

void PrintHead(const OperatorRecord& record) {
  const auto changed = static_cast<std::time_t>(record.changed_wall);
  std::tm when{};
  char text[32] = "";
  if (gmtime_r(&changed, &when) != nullptr) {
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%SZ", &when);
  }
  std::printf("version %llu%s, %s, by %s%s%s\n",
              static_cast<unsigned long long>(record.version),
              record.withdrawn ? " (withdrawn)" : "", text,
              record.author.empty() ? "nobody named" : record.author.c_str(),
              record.note.empty() ? "" : ": ", record.note.c_str());
}

int Show(const TiersCommand& command, RecordClient& client,
         const Settings& settings) {
  const RecordClient::Answer answer = client.Get(kName);
  if (answer.result == Result::kNotFound) {
    std::printf("version 0: no tiers are recorded, the built-in order holds\n");
    return kRecordOk;
  }
  if (answer.result != Result::kOk) return RecordClient::Explain(answer);
  if (command.json) {
    std::printf("%s\n", answer.body.c_str());
    return kRecordOk;
  }
  PrintHead(answer.record);
  if (answer.record.withdrawn) return kRecordOk;
  std::vector<Tier> tiers;
  const TierBounds bounds = TierBounds::From(settings);
  const std::string why = wire::ReadTiers(answer.record.text, bounds, &tiers);
  if (!why.empty()) {
    std::printf("can't be used, the last good one is in force: %s\n",
                why.c_str());
    return kRecordRefused;
  }
  PrintTiers(TierSet(std::move(tiers), bounds));
  return kRecordOk;
}

int History(const TiersCommand& command, RecordClient& client) {
  std::vector<NamedRecord> past;
  const RecordClient::Answer answer = client.Get(kName);
  if (answer.result != Result::kOk) return RecordClient::Explain(answer);
  if (!client.ListVersions(kName, &past)) {
    std::fprintf(stderr, "%s: no answer\n", command.address.c_str());
    return kRecordRefused;
  }
  PrintHead(answer.record);
  for (const auto& [name, record] : past) {
    PrintHead(record);
    if (command.json) std::printf("%s\n", record.text.c_str());
  }
  return kRecordOk;
}

}  // namespace

int RunTiers(const TiersCommand& command, const Settings& settings) {
  std::string text;
  std::vector<Tier> tiers;
  if (command.verb == "check" || command.verb == "set") {
    if (!ReadFile(command, settings, &text, &tiers)) return kRecordBadUse;
  }
  if (command.verb == "check") {
    PrintTiers(TierSet(std::move(tiers), TierBounds::From(settings)));
    return kRecordOk;
  }
  RecordClient client(command.address);
  if (command.verb == "show") return Show(command, client, settings);
  if (command.verb == "history") return History(command, client);
  const RecordClient::Answer answer =
      command.verb == "set" ? client.Put(kName, command.version, text,
                                         command.author, command.note)
                            : client.Withdraw(kName, command.version,
                                              command.author, command.note);
  if (answer.result == Result::kOk) PrintHead(answer.record);
  return RecordClient::Explain(answer);
}

}  // namespace oxbow::cli
