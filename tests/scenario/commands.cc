// The commands of a scenario file.
#include <gtest/gtest.h>

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "tests/scenario/runner.h"
#include "wire/tiers_json.h"

namespace oxbow::test {

void ScenarioRunner::Run(const std::string& path) {
  std::ifstream file(path);
  ASSERT_TRUE(file) << path;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    SCOPED_TRACE(path + ":" + std::to_string(number) + ": " + line);
    line = line.substr(0, line.find('#'));
    std::istringstream words(line);
    std::string verb;
    if (!(words >> verb)) continue;
    Execute(verb, words);
    if (testing::Test::HasFatalFailure()) return;
  }
  EXPECT_GT(expectations_, 0) << "a scenario that expects nothing";
  if (!broken_expected_) {
    for (const std::string& what : sim_.broken()) ADD_FAILURE() << what;
  }
}

// One branch for each step that a scenario may name.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
void ScenarioRunner::Execute(const std::string& verb,
                             std::istringstream& words) {
  std::string name;
  std::string word;
  if (verb == "type") {
    words >> name;
    const Options o = ReadOptions(words);
    MachineType type;
    type.name = name;
    type.total = {Number(o, "cpus", 8), Number(o, "gpus", 0),
                  Number(o, "mem", 64)};
    type.cache_gb = Number(o, "cache", 100);
    type.fetch_gb_per_second = Number(o, "fetch", 1);
    type.price = Number(o, "price", 1);
    type.spot_price = Number(o, "spot_price", type.price / 2);
    type.boot_seconds = Number(o, "boot", 5);
    if (o.contains("capacity")) {
      sim_.capacity[name] = static_cast<int>(Number(o, "capacity", 0));
    }
    std::istringstream zones(o.contains("zones") ? o.at("zones") : "a");
    while (std::getline(zones, word, ',')) type.zones.push_back(word);
    sim_.types[name] = type;
  } else if (verb == "team") {
    words >> name;
    const Options o = ReadOptions(words);
    sim_.settings.teams.push_back(
        {name, Number(o, "cpus", 0), Number(o, "cpus_max", 0),
         Number(o, "gpus", 0), Number(o, "gpus_max", 0)});
  } else if (verb == "wait-aim") {
    Objective aim;
    aim.kind = "wait";
    words >> aim.job_class >> aim.within_seconds;
    sim_.settings.objectives.push_back(aim);
  } else if (verb == "set") {
    words >> name >> word;
    if (name == "old_version") {
      sim_.old_version = word == "yes";
    } else if (name == "idle_return_leases") {
      sim_.tuning.idle_return_leases = std::stod(word);
    } else if (name == "rollouts_at_once") {
      sim_.tuning.rollouts_at_once = std::stod(word);
    } else if (name == "clock_off_ms") {
      sim_.settings.clock_error_ms = std::stod(word);
    } else if (name == "gang_peer_s") {
      sim_.settings.workers.gang_peer_seconds = std::stod(word);
    } else if (name == "give_up_ratio") {
      sim_.tuning.give_up_ratio = std::stod(word);
    } else if (name == "tiers") {
      sim_.tuning.tiers = std::stod(word);
    } else if (name == "piece_weight") {
      sim_.tuning.fragmentation_weight = std::stod(word);
    } else if (name == "moves_at_once") {
      sim_.tuning.moves_at_once = std::stod(word);
    } else if (name == "txn_ops") {
      sim_.settings.store.txn_ops = static_cast<int>(std::stod(word));
    } else if (name == "silent_share") {
      sim_.tuning.silent_share = std::stod(word);
    } else {
      FAIL() << "unknown setting";
    }
  } else if (verb == "machine") {
    std::string type;
    std::string zone;
    words >> name >> type >> zone;
    sim_.AddWorker(name, type, zone, ReadOptions(words).contains("spot"));
  } else if (verb == "controllers") {
    while (words >> name) sim_.AddController(name);
  } else if (verb == "controller") {
    // controller NAME deaf | hears | deaf-in | deaf-out | gone | back |
    //   refused | open | no-state | dies-on-offer | zone Z | unheard HOST...
    words >> name >> word;
    ReadController(sim_.controller(name), word, words);
  } else if (verb == "right") {
    words >> word;
    sim_.by_promises = word == "by-promises";
  } else if (verb == "lead") {
    if (words >> name) {
      sim_.Lead(name);
    } else {
      sim_.Lead();
    }
  } else if (verb == "crash") {
    sim_.Crash();
  } else if (verb == "stall") {
    double seconds = 0;
    words >> seconds;
    sim_.Stall(seconds);
  } else if (verb == "job") {
    Submit(words);
  } else if (verb == "cancel") {
    words >> name;
    sim_.CancelJob(name);
  } else if (verb == "cancel-burst") {
    // cancel-burst N [hang=S]: users cancel N jobs that run, within 0.2 s;
    // up to eight of their machines hang so long
    int count = 0;
    words >> count;
    sim_.CancelBurst(count, Number(ReadOptions(words), "hang", 0));
  } else if (verb == "cancel-at-end") {
    // cancel-at-end JOB...: as its last task ends
    while (words >> name) sim_.CancelAtEnd(name);
  } else if (verb == "flood") {
    Flood(words);
  } else if (verb == "odd-requests") {
    // Submissions of living jobs are repeated, ended jobs are cancelled.
    sim_.RequestOddly();
  } else if (verb == "run") {
    double seconds = 0;
    words >> seconds;
    sim_.Run(seconds);
  } else if (verb == "do") {
    // do HOST lost-answer | late SECONDS | refused
    double late = 0;
    words >> name >> word >> late;
    sim_.SetFate(name,
                 word == "late"          ? Fate::kLate
                 : word == "lost-answer" ? Fate::kLostAnswer
                                         : Fate::kRefusedConnection,
                 late);
  } else if (verb == "repeat") {
    // repeat HOST start | stop | forget S: the last answered direct batch with
    // such a command arrives once more S from now
    double after = 0;
    words >> name >> word >> after;
    sim_.RepeatCommands(name,
                        word == "start"  ? CommandKind::kStart
                        : word == "stop" ? CommandKind::kStop
                                         : CommandKind::kForget,
                        after);
  } else if (verb == "write") {
    // write late [S] | again S | lost: the leader's next transaction is
    // carried out S later without an answer, once more S later, or unanswered
    double seconds = 0;
    words >> word >> seconds;
    if (word == "again") {
      sim_.next_write_again_seconds = seconds;
    } else {
      sim_.next_write = word == "late" ? Fate::kLate : Fate::kLostAnswer;
      if (seconds > 0) sim_.next_write_late_seconds = seconds;
    }
  } else if (verb == "late-writes") {
    // late-writes [unanswered=SHARE] [answer-lost=SHARE] [copied=SHARE]
    //   [seed=N]; none: no more
    const Options o = ReadOptions(words);
    sim_.late_writes.reset();
    if (o.empty()) return;
    sim_.late_writes.emplace();
    sim_.late_writes->unanswered = Number(o, "unanswered", 0);
    sim_.late_writes->answer_lost = Number(o, "answer-lost", 0);
    sim_.late_writes->copied = Number(o, "copied", 0);
    sim_.late_writes->random.seed(static_cast<uint64_t>(Number(o, "seed", 1)));
  } else if (verb == "state") {
    // state down | up | epoch | loses-all | takes
    words >> word;
    if (word == "takes") {  // so many changes in a transaction
      words >> sim_.state_takes;
    } else if (word == "epoch") {
      sim_.OpenEpoch();
    } else if (word == "loses-all") {
      sim_.LoseRecords();
    } else {
      sim_.state_down = word == "down";
    }
  } else if (verb == "worker") {
    words >> name >> word;
    Disturb(sim_.worker(name), word, words);
  } else if (verb == "workers") {
    // workers ZONE WORD...: as `worker`, each in that zone; all: every one
    std::string zone;
    words >> zone >> word;
    std::string rest;
    std::getline(words, rest);
    for (auto& [host, w] : sim_.workers()) {
      std::istringstream values(rest);
      if (zone == "all" || w.zone == zone) Disturb(w, word, values);
    }
  } else if (verb == "keep") {
    // keep HOST: its last heartbeat reaches the next leader as it begins
    words >> name;
    sim_.KeepForNext(sim_.LastHeartbeat(name));
  } else if (verb == "copy") {
    words >> name;  // copy HOST S: its last heartbeat comes again S from now
    double after = 0;
    words >> after;
    sim_.Copy(sim_.LastHeartbeat(name), after);
  } else if (verb == "tier") {
    // tier NAME RANK [class=A,B] [team=..] [kept=S] [most=S] [floor=S]
    ReadTier(words);
  } else if (verb == "tiers") {
    // tiers set | bad | lost | withdrawn
    words >> word;
    if (word == "lost") {
      sim_.RecordTiers(std::nullopt);
    } else {
      sim_.RecordTiers(Sim::TiersRecord{
          word == "bad" ? "{\"tiers\":[" : wire::WriteTiers(tiers_),
          word == "withdrawn"});
    }
    tiers_.clear();
  } else if (verb == "book") {
    sim_.Book(ReadMaintenanceWindow(words));
  } else if (verb == "unbook") {
    words >> name;
    sim_.CancelBooking(name);
  } else if (verb == "rollout") {
    sim_.Declare(ReadRollout(words));
  } else if (verb == "wish") {
    words >> name >> word;
    sim_.RequestRollout(name, word == "pause"    ? RolloutRequest::kPause
                              : word == "resume" ? RolloutRequest::kResume
                                                 : RolloutRequest::kAbort);
  } else if (verb == "sick") {
    // sick JOB [after=S] [flap=S] [mute]; with none, from now on
    words >> name;
    const Options o = ReadOptions(words);
    Illness& ill = sim_.illness[name];
    ill.sick_after = Number(o, "after", 1e18);
    ill.flap_seconds = Number(o, "flap", 0);
    ill.mute = o.contains("mute");
    if (!o.contains("after") && !o.contains("flap")) {
      ill.sick_from = sim_.now();
    }
  } else if (verb == "well") {
    words >> name;
    sim_.illness.erase(name);
  } else if (verb == "checks") {
    words >> word >> name;  // checks cut|open ZONE
    if (word == "cut") {
      sim_.unchecked_zones.insert(name);
    } else {
      sim_.unchecked_zones.erase(name);
    }
  } else if (verb == "floor") {
    words >> sim_.floor;
    sim_.floor_jobs.clear();
    while (words >> name) sim_.floor_jobs.push_back(name);
  } else if (verb == "cloud") {
    words >> word >> sim_.rent_seconds;  // cloud answers-after S
  } else if (verb == "never-boot") {
    words >> word;
    sim_.never_boot = word == "on";
  } else if (verb == "expect") {
    Expect(words);
  } else {
    FAIL() << "unknown command";
  }
}

// flood SECONDS [rate=R] [cancelled=N] [run=S]: R one-task jobs a second,
// every Nth of them cancelled a second later
void ScenarioRunner::Flood(std::istringstream& words) {
  double seconds = 0;
  words >> seconds;
  const Options o = ReadOptions(words);
  const double rate = Number(o, "rate", 4);
  const int nth = static_cast<int>(Number(o, "cancelled", 4));
  const int after = static_cast<int>(rate);
  const auto id = [](int number) { return "job-" + std::to_string(number); };
  const int first = flooded_ + after;
  const int last = flooded_ + static_cast<int>(seconds * rate);
  for (int& n = flooded_; n < last;) {
    std::istringstream job(id(++n) + " array tasks=1 gb=0.1 run=" +
                           std::to_string(Number(o, "run", 2)));
    Submit(job);
    if (n % nth == 0 && n > first) sim_.CancelJob(id(n - after));
    sim_.Run(1 / rate);
  }
}

}  // namespace oxbow::test
