#include "tests/behavior_trail.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <stdexcept>
#include <variant>

#include "wire/json.h"
#include "wire/names.h"
#include "wire/records.h"
#include "wire/rollout_json.h"
#include "wire/worker_json.h"

namespace oxbow::test {
namespace {

constexpr const char* kDirectoryVariable = "OXBOW_TRAIL_DIR";

struct FileCloser {
  void operator()(std::FILE* file) const { std::fclose(file); }
};

struct OpenTrail {
  std::unique_ptr<std::FILE, FileCloser> file;
  std::map<std::string, std::string> states;  // by subject, as last written
};

// The run that is being written, if any.
std::unique_ptr<OpenTrail>& Current() {
  static std::unique_ptr<OpenTrail> current;
  return current;
}

void Open(const std::string& name) {
  if (Current()) throw std::logic_error("a run within a run: " + name);
  const char* directory = std::getenv(kDirectoryVariable);
  if (directory == nullptr) return;
  const std::filesystem::path path =
      std::filesystem::path(directory) / (name + ".trail");
  auto trail = std::make_unique<OpenTrail>();
  trail->file.reset(std::fopen(path.c_str(), "w"));
  if (!trail->file) throw std::runtime_error("cannot write " + path.string());
  Current() = std::move(trail);
}

std::string JsonOf(const std::vector<WorkerCommand>& commands) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  wire::WriteOrders(writer, commands);
  writer.EndObject();
  return json::Text(buffer);
}

std::string JsonOf(const RolloutSpec& spec) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  wire::WriteRolloutSpec(writer, spec);
  writer.EndObject();
  return json::Text(buffer);
}

std::string TextOf(const Mutation& change) {
  if (std::holds_alternative<std::monostate>(change.record)) {
    return change.key + " deleted";
  }
  return change.key + " " + wire::EncodeRecord(change.record);
}

// Writes an action as lines. Numbers that never leave the process (of a batch,
// a transaction, a read, a round) are left out.
struct ActionWriter {
  double now;

  void operator()(const SendCommands& send) const {
    TrailEvent(
        now, "command",
        fmt::format("{} {} fence={} tenure={} {}", send.host, send.endpoint,
                    send.token, send.incarnation, JsonOf(send.commands)));
  }
  void operator()(const Probe& probe) const {
    TrailEvent(now, "probe", probe.host + " " + probe.endpoint);
  }
  void operator()(const CompareAndSwap& transaction) const {
    TrailEvent(now, "transaction",
               fmt::format("{} conditions, {} changes",
                           transaction.preconditions.size(),
                           transaction.mutations.size()));
    for (const Precondition& condition : transaction.preconditions) {
      TrailEvent(
          now, "condition",
          fmt::format("{} at {}", condition.key, condition.mod_revision));
    }
    for (const Mutation& change : transaction.mutations) {
      TrailEvent(now, "change", TextOf(change));
    }
  }
  void operator()(const ReadKeys& read) const {
    TrailEvent(now, "read", fmt::format("{}", fmt::join(read.keys, " ")));
  }
  void operator()(const ReadFence& read) const {
    TrailEvent(now, "read fence", read.key);
  }
  void operator()(const RequestScaleOut& rent) const {
    TrailEvent(now, "rent",
               rent.name + " " + wire::EncodeRecord(Record(rent.scale_out)));
  }
  void operator()(const DeleteMachines& gone) const {
    TrailEvent(now, "delete", fmt::format("{}", fmt::join(gone.hosts, " ")));
  }
  void operator()(const JobTerminated& end) const {
    TrailEvent(now, "end",
               fmt::format("{} {}", end.id,
                           wire::NameOf(wire::kTerminalStates, end.state)));
  }
  void operator()(const RunHealthCheck& check) const {
    TrailEvent(now, "check",
               fmt::format("{} {}/{}#{} {} {}", check.rollout, check.key.job_id,
                           check.key.task, check.key.attempt, check.endpoint,
                           JsonOf(*check.spec)));
  }
  void operator()(const AskReach& ask) const {
    TrailEvent(
        now, "reach",
        fmt::format("{} {} at {}", ask.sample ? "sample" : "silent",
                    fmt::join(ask.hosts, " "), fmt::join(ask.endpoints, " ")));
  }
  void operator()(const OfferLeadershipTransfer& offer) const {
    TrailEvent(now, "offer", offer.to + " " + offer.why);
  }
  void operator()(const RequestLeaseYield& ask) const {
    TrailEvent(now, "stand-back", fmt::format("{}", fmt::join(ask.peers, " ")));
  }
  void operator()(const ReadDelegates& /*read*/) const {
    TrailEvent(now, "read-delegates", "");
  }
  void operator()(const RequestJobRecord& ask) const {
    TrailEvent(now, "read-job", ask.id);
  }
  void operator()(const ReadTerminalState& read) const {
    TrailEvent(now, "read-end", read.id);
  }
  void operator()(const Resign& quit) const {
    // The reason is a text for the log.
    TrailEvent(now, "resign", quit.prefer_other_candidates ? "unfit" : "");
  }
  void operator()(const LogEvent& /*note*/) const {}
};

}  // namespace

TrailedRun::TrailedRun(const std::string& name) { Open(name); }

TrailedRun::TrailedRun(const std::string& simulation, uint64_t seed)
    : TrailedRun(fmt::format("{}-{:05}", simulation, seed)) {}

TrailedRun::~TrailedRun() { Current().reset(); }

bool TrailIsWritten() { return Current() != nullptr; }

void TrailActions(double now, const std::vector<Action>& actions) {
  if (!TrailIsWritten()) return;
  for (const Action& action : actions) std::visit(ActionWriter{now}, action);
}

void TrailReply(double now, const std::string& host,
                const HeartbeatResponse& reply) {
  if (!TrailIsWritten()) return;
  const std::string answer = reply.refused    ? "refused"
                             : reply.withheld ? "withheld"
                                              : wire::EncodeReply(reply);
  TrailEvent(now, "reply", host + " " + answer);
}

void TrailStatus(double now, const std::string& job, std::string_view status) {
  if (TrailIsWritten()) TrailState(now, "status " + job, status);
}

void TrailTasks(double now, const std::string& job, const JobView& view) {
  if (!TrailIsWritten()) return;
  TrailState(now, "tasks " + job,
             fmt::format("{} done {} running", view.done, view.running));
}

void TrailEvent(double now, std::string_view kind, std::string_view text) {
  if (!TrailIsWritten()) return;
  const std::string line = fmt::format("{:.2f} {} {}\n", now, kind, text);
  std::fwrite(line.data(), 1, line.size(), Current()->file.get());
}

void TrailState(double now, const std::string& subject, std::string_view text) {
  if (!TrailIsWritten()) return;
  std::string& last = Current()->states[subject];
  if (last == text) return;
  last = text;
  TrailEvent(now, subject, text);
}

}  // namespace oxbow::test
