// Runs every scenario file. A line is a command; # begins a comment.

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "tests/behavior_trail.h"
#include "tests/sim.h"
#include "wire/names.h"
#include "wire/tiers_json.h"

namespace oxbow::test {
namespace {

class Runner {
 public:
  void Run(const std::string& path) {
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

 private:
  using Options = std::map<std::string, std::string>;

  static Options ReadOptions(std::istringstream& words) {
    Options out;
    std::string word;
    while (words >> word) {
      const size_t equals = word.find('=');
      out[word.substr(0, equals)] =
          equals == std::string::npos ? "1" : word.substr(equals + 1);
    }
    return out;
  }
  static double Number(const Options& options, const std::string& key,
                       double fallback) {
    const auto it = options.find(key);
    return it == options.end() ? fallback : std::stod(it->second);
  }

  // One branch for each step that a scenario may name.
  // NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
  void Execute(const std::string& verb, std::istringstream& words) {
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
        sim_.settings.clock_off_ms = std::stod(word);
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
      sim_.late_writes->random.seed(
          static_cast<uint64_t>(Number(o, "seed", 1)));
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
  void Flood(std::istringstream& words) {
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

  void Disturb(SimWorker& worker, const std::string& word,
               std::istringstream& words) {
    if (word == "dies") {
      worker.dead = true;
      worker.died_at = sim_.now();
    } else if (word == "answers-cut") {
      // answers-cut [S]: its heartbeats come to the leader so far apart
      worker.answers_cut = true;
      words >> worker.retry_seconds;
      if (!words) worker.retry_seconds = SimWorker().retry_seconds;
    } else if (word == "answers-open") {
      worker.answers_cut = false;
    } else if (word == "copies")
      words >> worker.copy_after;  // copies S: every heartbeat again, S later
    else if (word == "hangs")
      worker.hung = true;
    else if (word == "resumes")
      worker.hung = false;
    else if (word == "cut" || word == "mute")
      worker.heartbeats_cut = true;  // commands still reach it
    else if (word == "healed")
      worker.heartbeats_cut = false;
    else if (word == "orders-cut")
      worker.commands_cut = true;
    else if (word == "orders-open")
      worker.commands_cut = false;
    else if (word == "kept")
      worker.kept = true;
    else if (word == "not-kept")
      worker.kept = false;
    else if (word == "by-way-of")
      words >> worker.by_way;
    else if (word == "sound")
      worker.faulty = false;
    else if (word == "faulty")
      worker.faulty = true;
    else if (word == "notice") {
      double seconds = 0;
      words >> seconds;
      worker.notice = seconds;
    } else
      FAIL() << "unknown fault";
  }

  static void ReadController(SimController& controller, const std::string& word,
                             std::istringstream& words) {
    if (word == "deaf") {
      controller.in_cut = controller.out_cut = true;
    } else if (word == "hears") {
      controller.in_cut = controller.out_cut = false;
      controller.unheard.clear();
    } else if (word == "deaf-in") {
      controller.in_cut = true;
    } else if (word == "deaf-out") {
      controller.out_cut = true;
    } else if (word == "gone" || word == "back") {
      controller.gone = word == "gone";
    } else if (word == "refused" || word == "open") {
      controller.refused = word == "refused";
    } else if (word == "no-state" || word == "state") {
      controller.no_state = word == "no-state";
    } else if (word == "dies-on-offer") {
      controller.dies_on_offer = true;
    } else if (word == "zone") {
      words >> controller.zone;
    } else if (word == "unheard") {
      std::string host;
      while (words >> host) controller.unheard.insert(host);
    } else if (word == "wall-off") {
      words >> controller.wall_off;
    } else {
      FAIL() << "unknown state of a controller";
    }
  }

  // book ID window|peak class=C from=S to=S [overrun=WORD] [room=R], from now
  // on
  MaintenanceWindow ReadMaintenanceWindow(std::istringstream& words) const {
    MaintenanceWindow b;
    std::string kind;
    words >> b.id >> kind;
    const Options o = ReadOptions(words);
    b.kind = kind == "peak" ? BookingKind::kPeak : BookingKind::kWindow;
    b.work.classes = {o.at("class")};
    b.room_share = Number(o, "room", 1);
    const std::string overrun = o.contains("overrun") ? o.at("overrun") : "";
    b.overrun = overrun == "run_on"          ? Overrun::kRunOn
                : overrun == "save_and_stop" ? Overrun::kSaveAndStop
                                             : Overrun::kHoldBack;
    b.times = {{sim_.true_wall() + Number(o, "from", 0),
                sim_.true_wall() + Number(o, "to", 0)}};
    return b;
  }

  static RolloutSpec ReadRollout(std::istringstream& words) {
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

  void ReadTier(std::istringstream& words) {
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
    tier.kept_share = Number(o, "kept", 0);
    tier.most_share = Number(o, "most", 1);
    tier.floor_seconds = Number(o, "floor", 0);
    tiers_.push_back(tier);
  }

  void Submit(std::istringstream& words) {
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
    spec.need = {Number(o, "cpus", 1), Number(o, "gpus", 0),
                 Number(o, "mem", 1)};
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

  void Expect(std::istringstream& words) {
    ++expectations_;
    std::string what;
    std::string name;
    words >> what;
    if (what == "status") {
      std::string status;
      words >> name >> status;
      EXPECT_EQ(sim_.JobStatus(name), status);
      return;
    }
    if (what == "recorded") {  // waiting | live | done | aborted | none
      std::string record;
      words >> name >> record;
      EXPECT_EQ(sim_.RecordedAs(name), record);
      return;
    }
    if (what == "rollout") {
      std::string step;
      words >> name >> step;
      const auto record = sim_.RolloutOf(name);
      ASSERT_TRUE(record);
      EXPECT_EQ(wire::NameOf(wire::kRolloutStepNames, record->step), step)
          << record->reason;
      return;
    }
    if (what == "tiers") {  // built-in | recorded | last-known
      words >> name;
      const TierSource source = sim_.tiers_in_force().source();
      EXPECT_EQ(source == TierSource::kBuiltIn    ? "built-in"
                : source == TierSource::kRecorded ? "recorded"
                                                  : "last-known",
                name);
      return;
    }
    if (what == "others-wait") {  // yes | no: for the best tier
      ASSERT_NE(sim_.leader(), nullptr);
      words >> name;
      EXPECT_EQ(sim_.leader()->tiers().recovery().holds(), name == "yes");
      return;
    }
    if (what == "leading") {
      words >> name;
      EXPECT_NE(sim_.leader(), nullptr);
      EXPECT_EQ(sim_.leading(), name);
      return;
    }
    if (what == "alarm") {
      ASSERT_NE(sim_.leader(), nullptr);
      words >> name;  // yes | no
      EXPECT_EQ(!sim_.leader()->Alarms().empty(), name == "yes");
      return;
    }
    if (what == "leader") {
      words >> name;
      EXPECT_EQ(sim_.leader() != nullptr, name == "yes");
      return;
    }
    if (what == "broken") {
      broken_expected_ = true;
      return;
    }
    int actual = 0;
    if (what == "running") {
      words >> name;
      actual = sim_.CountRunning(name);
    } else if (what == "tier-of") {  // its place in the order of ranks
      words >> name;
      ASSERT_NE(sim_.leader(), nullptr);
      actual = sim_.leader()->jobs().at(name)->tier;
    } else if (what == "present") {
      words >> name;
      actual = sim_.CountPresent(name);
    } else if (what == "on") {
      words >> name;
      actual = sim_.CountOn(name);
    } else if (what == "records") {  // in the key-value store, by prefix
      words >> name;
      actual = sim_.CountRecords(name);
    } else if (what == "late-writes") {  // that were tried
      actual = sim_.late_writes_tried();
    } else if (what == "late-changes") {  // that were made, by prefix of keys
      words >> name;
      actual = sim_.CountLateChanges(name);
    } else if (what == "up") {
      actual = sim_.CountUp();
    } else if (what == "starts") {
      actual = sim_.starts();
    } else if (what == "deletions") {
      actual = sim_.deletions();
    } else if (what == "starts-on-deaf") {
      actual = sim_.starts_on_deaf();
    } else if (what == "held-by-dead") {
      double bound = 0;
      words >> bound;
      actual = static_cast<int>(sim_.HeldByTheDead(bound).size());
    } else if (what == "transactions") {  // of leaders, so far
      actual = sim_.transactions();
    } else if (what == "waited-with-room") {  // s, of a job or of any: all
      words >> name;
      actual = static_cast<int>(sim_.WaitedWithRoom(name == "all" ? "" : name));
    } else if (what == "phantoms") {  // tasks counted where there is none
      actual = static_cast<int>(sim_.Phantoms().size());
    } else if (what == "lost-alive") {
      actual = sim_.lost_alive();
    } else if (what == "hand-overs") {
      actual = sim_.leadership_transfers();
    } else {
      FAIL() << "unknown expectation";
    }
    std::string relation;
    int wanted = 0;
    words >> relation >> wanted;
    if (relation == "=") {
      EXPECT_EQ(actual, wanted);
    } else if (relation == ">=") {
      EXPECT_GE(actual, wanted);
    } else if (relation == "<=") {
      EXPECT_LE(actual, wanted);
    } else
      FAIL() << "unknown relation";
  }

  Sim sim_;
  std::vector<Tier> tiers_;
  int flooded_ = 900'000;  // the last job of a flood
  int expectations_ = 0;
  bool broken_expected_ = false;
};

std::vector<std::string> Files() {
  std::vector<std::string> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(OXBOW_SCENARIOS)) {
    if (entry.path().extension() == ".txt") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

class Scenario : public testing::TestWithParam<std::string> {};

TEST_P(Scenario, Holds) {
  const std::string name = std::filesystem::path(GetParam()).stem();
  const TrailedRun trailed("scenario-" + name);
  Runner().Run(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Files, Scenario, testing::ValuesIn(Files()),
                         [](const auto& info) {
                           std::string name =
                               std::filesystem::path(info.param).stem();
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

TEST(Scenarios, AreThere) { EXPECT_GE(Files().size(), 20U); }

}  // namespace
}  // namespace oxbow::test
