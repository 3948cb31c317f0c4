// What a scenario file declares with options: jobs, tiers, rollouts and
// maintenance windows.
#include <sstream>
#include <string>
#include <vector>

#include "tests/scenario/runner.h"

namespace oxbow::test {

ScenarioRunner::Options ScenarioRunner::ReadOptions(std::istringstream& words) {
  Options out;
  std::string word;
  while (words >> word) {
    const size_t equals = word.find('=');
    out[word.substr(0, equals)] =
        equals == std::string::npos ? "1" : word.substr(equals + 1);
  }
  return out;
}

double ScenarioRunner::Number(const Options& options, const std::string& key,
                              double fallback) {
  const auto it = options.find(key);
  return it == options.end() ? fallback : std::stod(it->second);
}

// book ID window|peak class=C from=S to=S [overrun=WORD] [room=R], from now
// on
MaintenanceWindow ScenarioRunner::ReadMaintenanceWindow(
    std::istringstream& words) const {
  MaintenanceWindow b;
  std::string kind;
  words >> b.id >> kind;
  const Options o = ReadOptions(words);
  b.kind = kind == "peak" ? WindowKind::kPeak : WindowKind::kWindow;
  b.work.classes = {o.at("class")};
  b.capacity_share = Number(o, "room", 1);
  const std::string overrun = o.contains("overrun") ? o.at("overrun") : "";
  b.overrun = overrun == "run_on"          ? Overrun::kRunOn
              : overrun == "save_and_stop" ? Overrun::kSaveAndStop
                                           : Overrun::kHoldBack;
  b.times = {{sim_.true_wall() + Number(o, "from", 0),
              sim_.true_wall() + Number(o, "to", 0)}};
  return b;
}

RolloutSpec ScenarioRunner::ReadRollout(std::istringstream& words) {
  RolloutSpec spec;
  words >> spec.id;
  const Options o = ReadOptions(words);
  spec.from = o.at("from");
  spec.to = o.at("to");
  spec.floor = static_cast<uint32_t>(Number(o, "floor", 1));
  spec.surge = static_cast<uint32_t>(Number(o, "surge", 1));
  spec.start_seconds = Number(o, "start", 5);
  spec.bake_seconds = Number(o, "bake", 4);
  spec.watch_seconds = Number(o, "watch", 5);
  spec.check.interval_seconds = Number(o, "interval", 0.5);
  spec.check.timeout_seconds = Number(o, "timeout", 0.5);
  return spec;
}

void ScenarioRunner::ReadTier(std::istringstream& words) {
  Tier tier;
  words >> tier.name >> tier.rank;
  const Options o = ReadOptions(words);
  const auto list = [&](const char* key, std::vector<std::string>* out) {
    if (!o.contains(key)) return;
    std::istringstream names(o.at(key));
    for (std::string name; std::getline(names, name, ',');) {
      out->push_back(name);
    }
  };
  list("class", &tier.match.classes);
  list("team", &tier.match.teams);
  tier.headroom_share = Number(o, "kept", 0);
  tier.max_share = Number(o, "most", 1);
  tier.turn_wait_seconds = Number(o, "floor", 0);
  tiers_.push_back(tier);
}

void ScenarioRunner::Submit(std::istringstream& words) {
  JobSpec spec;
  std::string kind;
  words >> spec.id >> kind;
  spec.kind = kind == "array"  ? JobKind::kArray
              : kind == "gang" ? JobKind::kGang
                               : JobKind::kService;
  const Options o = ReadOptions(words);
  spec.job_class = o.contains("class") ? o.at("class") : kind;
  spec.team = o.contains("team") ? o.at("team") : "t";
  spec.priority = static_cast<Priority>(
      Number(o, "rank", spec.kind == JobKind::kService ? 0 : 2));
  spec.tasks = static_cast<uint32_t>(Number(o, "tasks", 1));
  spec.need = {Number(o, "cpus", 1), Number(o, "gpus", 0), Number(o, "mem", 1)};
  spec.image = o.contains("image") ? o.at("image") : "img";
  spec.image_gb = Number(o, "gb", 1);
  if (o.contains("type")) spec.types = {o.at("type")};
  if (o.contains("zone")) spec.zone = o.at("zone");
  spec.one_zone = o.contains("one_zone");
  spec.spread = o.contains("spread");
  spec.spot = o.contains("spot");
  spec.estimate_seconds = Number(o, "run", 5);
  spec.checkpoint_seconds = Number(o, "checkpoint", 0);
  spec.save_seconds = Number(o, "save", 0);
  if (o.contains("due")) spec.deadline_seconds = Number(o, "due", 0);
  std::istringstream needs(o.contains("waits") ? o.at("waits") : "");
  for (std::string id; std::getline(needs, id, ',');) {
    spec.dependencies.push_back(id);
  }
  sim_.Submit(spec);
}

}  // namespace oxbow::test
