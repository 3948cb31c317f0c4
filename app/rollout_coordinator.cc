#include "app/rollout_coordinator.h"

#include <algorithm>
#include <utility>

#include "wire/records.h"
#include "wire/rollout_json.h"

namespace oxbow::app {
namespace {

using api::RolloutAnswer;
using api::RolloutState;
using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;
using Result = RolloutAnswer::Result;

// Space that a declared record must leave free: each step of the rollout
// rewrites the record and adds a reason to it.
constexpr size_t kRecordGrowthBytes = 256;
constexpr int kMaxAttempts = 3;

RolloutAnswer MakeAnswer(Result result, std::string why) {
  RolloutAnswer answer;
  answer.result = result;
  answer.why = std::move(why);
  return answer;
}

}  // namespace

RolloutCoordinator::RolloutCoordinator(const Settings& settings,
                                       const Tuning& tuning,
                                       const Catalog& catalog,
                                       clients::KeyValueStoreClient& store,
                                       Callbacks callbacks)
    : settings_(settings),
      tuning_(tuning),
      catalog_(catalog),
      store_(store),
      callbacks_(std::move(callbacks)) {}

RolloutState RolloutCoordinator::StateOf(const RolloutRecord& record) const {
  RolloutState state;
  state.record = record;
  const Leader* leader = callbacks_.leader();
  if (leader != nullptr) {
    if (const Rollout* rollout = leader->FindRollout(record.spec->id)) {
      state.counts = rollout->Count(callbacks_.now());
    }
  }
  return state;
}

std::optional<std::vector<RolloutState>> RolloutCoordinator::List() {
  if (!callbacks_.synced()) return std::nullopt;
  std::vector<RolloutState> states;
  for (const auto& [id, record] : catalog_.rollouts()) {
    states.push_back(StateOf(record));
  }
  std::sort(states.begin(), states.end(),
            [](const RolloutState& a, const RolloutState& b) {
              return a.record.spec->id < b.record.spec->id;
            });
  return states;
}

net::Task<RolloutAnswer> RolloutCoordinator::ReadFresh(std::string id) {
  // One transaction replaces the live record by the terminal record, so reading
  // the live record first never misses both.
  for (const std::string_view prefix : {keys::kRollout, keys::kEndedRollout}) {
    const std::string key = keys::Of(prefix, id);
    const StoreResult read = co_await store_.Get(key, Urgency::kUser);
    if (read.ok()) {
      const auto* record = std::get_if<RolloutRecord>(&read.items[0].record);
      if (record == nullptr) {
        co_return MakeAnswer(Result::kTryLater, "unreadable");
      }
      RolloutAnswer answer;
      answer.result = Result::kOk;
      answer.state.record = *record;
      answer.state.record.mod_revision = read.items[0].mod_revision;
      if (prefix == keys::kRollout) {
        callbacks_.apply(key, *record, read.items[0].mod_revision);
      }
      co_return answer;
    }
    if (read.status != StoreStatus::kNotFound) {
      co_return MakeAnswer(Result::kTryLater, "state unknown");
    }
  }
  co_return MakeAnswer(Result::kNotFound, {});
}

net::Task<RolloutAnswer> RolloutCoordinator::Get(std::string id) {
  const auto it = catalog_.rollouts().find(id);
  if (it != catalog_.rollouts().end() && callbacks_.leader() != nullptr) {
    RolloutAnswer answer;
    answer.result = Result::kOk;
    answer.state = StateOf(it->second);
    co_return answer;
  }
  co_return co_await ReadFresh(std::move(id));
}

std::optional<RolloutAnswer> RolloutCoordinator::RejectDeclaration(
    const RolloutSpec& spec) const {
  const JobRecord* from = catalog_.FindJob(spec.from);
  if (from == nullptr || from->terminal_state != TerminalState::kNone) {
    return MakeAnswer(Result::kImpossible, spec.from + " is not a running job");
  }
  if (from->spec->kind != JobKind::kService) {
    return MakeAnswer(Result::kImpossible, spec.from + " is not a service");
  }
  const std::string invalid = wire::WhyNoRollout(spec, from->spec->tasks);
  if (!invalid.empty()) return MakeAnswer(Result::kImpossible, invalid);
  return RejectBesideOthers(spec);
}

std::optional<RolloutAnswer> RolloutCoordinator::RejectBesideOthers(
    const RolloutSpec& spec) const {
  const auto& known = catalog_.rollouts();
  if (known.contains(spec.id)) return std::nullopt;
  for (const auto& [id, other] : known) {
    for (const std::string& job : {other.spec->from, other.spec->to}) {
      if (job == spec.from || job == spec.to) {
        std::string reason = job;
        reason += " is part of rollout ";
        reason += id;
        return MakeAnswer(Result::kConflict, std::move(reason));
      }
    }
  }
  if (static_cast<double>(known.size()) >= tuning_.rollouts_at_once) {
    return MakeAnswer(Result::kTooMany,
                      "the maximum number of rollouts is already running");
  }
  return std::nullopt;
}

net::Task<RolloutAnswer> RolloutCoordinator::Declare(
    std::shared_ptr<const RolloutSpec> spec) {
  if (!callbacks_.synced()) {
    co_return MakeAnswer(Result::kTryLater, "state unknown");
  }
  std::optional<RolloutAnswer> rejection = RejectDeclaration(*spec);
  if (rejection) co_return *std::move(rejection);
  RolloutRecord record;
  record.spec = spec;
  record.declared_wall = net::WallNow();
  if (wire::EncodeRecord(record).size() + kRecordGrowthBytes >
      settings_.store.max_value_bytes()) {
    co_return MakeAnswer(Result::kImpossible, "the declaration is too large");
  }
  const std::string key = keys::Of(keys::kRollout, spec->id);
  const JobRecord* from = catalog_.FindJob(spec->from);
  std::vector<Precondition> preconditions{
      {key, 0},
      {keys::Of(keys::kEndedRollout, spec->id), 0},
      {keys::Of(keys::kJob, spec->to), 0},
      {keys::Of(keys::kTerminal, spec->to), 0},
      {keys::Of(keys::kJob, spec->from), from->mod_revision}};
  std::vector<Mutation> mutations{{key, record}};
  callbacks_.add_guard(&preconditions);
  StoreResult written = co_await store_.Write(
      std::move(preconditions), std::move(mutations), Urgency::kUser);
  if (written.ok()) {
    callbacks_.apply(key, record, written.revision);
    RolloutAnswer answer;
    answer.result = Result::kDeclared;
    answer.state.record = record;
    co_return answer;
  }
  co_return co_await ReadOutcome(std::move(spec), std::move(written));
}

net::Task<RolloutAnswer> RolloutCoordinator::ReadOutcome(
    std::shared_ptr<const RolloutSpec> spec, StoreResult written) {
  if (written.status != StoreStatus::kConflict &&
      written.status != StoreStatus::kUnknown) {
    co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
  }
  // A rollout of this id may already exist, perhaps because this request
  // created it. Its state is then the answer, unless it is a rollout of other
  // jobs, which is a conflict.
  RolloutAnswer current = co_await ReadFresh(spec->id);
  if (current.result == Result::kOk) {
    const RolloutSpec& recorded = *current.state.record.spec;
    if (recorded.from != spec->from || recorded.to != spec->to) {
      co_return MakeAnswer(
          Result::kConflict,
          spec->id + " is already the id of a rollout of other jobs");
    }
    co_return current;
  }
  if (current.result == Result::kNotFound &&
      written.status == StoreStatus::kConflict) {
    for (const std::string& failed : written.failed) {
      if (failed.ends_with(spec->to)) {
        co_return MakeAnswer(Result::kConflict, spec->to + " is known already");
      }
    }
  }
  co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
}

net::Task<RolloutAnswer> RolloutCoordinator::Request(std::string id,
                                                     RolloutRequest request) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    RolloutAnswer current = co_await ReadFresh(id);
    if (current.result != Result::kOk) co_return current;
    RolloutRecord record = current.state.record;
    if (Ended(record.step)) {
      co_return MakeAnswer(Result::kConflict, id + " has ended");
    }
    if (request == RolloutRequest::kResume &&
        record.step != RolloutStep::kPaused &&
        record.request != RolloutRequest::kPause) {
      co_return current;  // nothing to resume
    }
    if (record.request == request) co_return current;
    const std::string key = keys::Of(keys::kRollout, id);
    std::vector<Precondition> preconditions{{key, record.mod_revision}};
    callbacks_.add_guard(&preconditions);
    record.request = request;
    std::vector<Mutation> mutations{{key, record}};
    const StoreResult written = co_await store_.Write(
        std::move(preconditions), std::move(mutations), Urgency::kUser);
    if (written.ok()) {
      callbacks_.apply(key, record, written.revision);
      current.state.record = record;
      co_return current;
    }
    if (written.status == StoreStatus::kRefused) {
      co_return MakeAnswer(
          Result::kImpossible,
          "the record is larger than the key-value store accepts now");
    }
    // Otherwise the leader has written a step in the meantime or the outcome is
    // unknown, so the next attempt reads the record again.
    if (written.status == StoreStatus::kNotExecuted) break;
  }
  co_return MakeAnswer(Result::kTryLater, "cannot be recorded now");
}

}  // namespace oxbow::app
