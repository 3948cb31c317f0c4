// The fake key-value store: compare-and-swap, lost, late and repeated writes,
// the watch, and what the records say.
#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "tests/sim.h"
#include "tests/simulation/sim_common.h"

namespace oxbow::test {

void Sim::OpenEpoch() {
  StoreEpoch epoch;
  epoch.number = ++epoch_;
  epoch.id = "e" + std::to_string(epoch_);
  epoch.base = epoch_ << 30;
  epoch.rebuilt = epoch_ == 1;
  ++revision_;
  const std::string mark = keys::Of(keys::kEpochMark, epoch.id);
  store_[mark] = {EpochMark{epoch_, 0}, revision_};
  store_[std::string(keys::kEpoch)] = {epoch, revision_};
  catalog_.Put(mark, EpochMark{epoch_, 0}, revision_);
  catalog_.Put(std::string(keys::kEpoch), epoch, revision_);
}

void Sim::LoseRecords() {
  leader_.reset();
  store_.clear();
  unwatched_changes_.clear();
  records_lost_ = true;
  OpenEpoch();
  next_leader_keeps_catalog_ = true;
}

void Sim::Declare(const RolloutSpec& spec) {
  RolloutRecord record;
  record.spec = std::make_shared<RolloutSpec>(spec);
  const std::string key = keys::Of(keys::kRollout, spec.id);
  store_[key] = {record, ++revision_};
  unwatched_changes_.emplace_back(key, revision_);
}

void Sim::RequestRollout(const std::string& id, RolloutRequest request) {
  const std::string key = keys::Of(keys::kRollout, id);
  const auto it = store_.find(key);
  if (it == store_.end()) return;
  std::get<RolloutRecord>(it->second.first).request = request;
  it->second.second = ++revision_;
  unwatched_changes_.emplace_back(key, revision_);
}

std::optional<RolloutRecord> Sim::RolloutOf(const std::string& id) const {
  for (const std::string_view prefix : {keys::kRollout, keys::kEndedRollout}) {
    const auto it = store_.find(keys::Of(prefix, id));
    if (it != store_.end()) return std::get<RolloutRecord>(it->second.first);
  }
  return std::nullopt;
}

void Sim::Watch() {
  if (!leader_ || state_down || now_ < stalled_until_) return;
  const auto news = std::exchange(unwatched_changes_, {});
  for (const auto& [key, revision] : news) {
    const auto it = store_.find(key);
    if (it == store_.end()) {
      catalog_.Erase(key, revision);
      continue;
    }
    if (old_version && key.starts_with(keys::kWaiting)) continue;
    catalog_.Put(key, it->second.first, it->second.second);
    if (!leader_) return;
    if (key.starts_with(keys::kJob)) {
      leader_->OnJobRecord(key.substr(keys::kJob.size()), now_);
    } else if (key.starts_with(keys::kWaiting)) {
      leader_->OnWaitingRecord(key.substr(keys::kWaiting.size()), now_);
    } else if (key.starts_with(keys::kRollout)) {
      leader_->OnRolloutRecord(key.substr(keys::kRollout.size()), now_);
    } else if (key.starts_with(keys::kOperator)) {
      leader_->OnOperatorRecord(key.substr(keys::kOperator.size()), now_);
    }
    ExecuteActions();
  }
  catalog_.AdvanceWatch(revision_);
}

uint64_t Sim::ApplyLate(const CompareAndSwap& txn) {
  std::vector<std::string> failed;
  const uint64_t at = Apply(txn, &failed);
  ++late_writes_tried_;
  if (at == 0) return 0;
  for (const Mutation& change : txn.mutations) {
    late_changes_.push_back(change.key);
  }
  return at;
}

uint64_t Sim::Apply(const CompareAndSwap& txn,
                    std::vector<std::string>* failed) {
  for (const Precondition& precondition : txn.preconditions) {
    const auto it = store_.find(precondition.key);
    if ((it == store_.end() ? 0 : it->second.second) !=
        precondition.mod_revision) {
      failed->push_back(precondition.key);
    }
  }
  if (!failed->empty()) return 0;
  ++revision_;
  for (const Mutation& change : txn.mutations) {
    if (const auto* job = std::get_if<JobRecord>(&change.record)) {
      TerminalState& told = reported_terminal_states_[job->spec->id];
      if (told != TerminalState::kNone && told != job->terminal_state) {
        RecordViolation("went_back: " + job->spec->id);
      }
      told = job->terminal_state;
      if (told == TerminalState::kDone) ends_elsewhere_.insert(job->spec->id);
      if (told == TerminalState::kDone &&
          completed_[job->spec->id].size() != job->spec->tasks) {
        RecordViolation("not_done: " + job->spec->id);
      }
    }
    // From here on any controller answers that the job is aborted.
    const auto* end = std::get_if<TerminalRecord>(&change.record);
    if (end != nullptr && end->state == TerminalState::kAborted) {
      const std::string id = change.key.substr(keys::kTerminal.size());
      jobs_.at(id).recorded_as_aborted = true;
      ends_elsewhere_.insert(id);
    }
    CheckChange(change);
    unwatched_changes_.emplace_back(change.key, revision_);
    if (std::holds_alternative<std::monostate>(change.record)) {
      store_.erase(change.key);
    } else {
      store_[change.key] = {change.record, revision_};
    }
  }
  CheckScaleOutRecorded(txn);
  return revision_;
}

void Sim::Write(const CompareAndSwap& txn) {
  ++transactions_;
  const uint64_t id = txn.id;
  const uint64_t leader = leader_->revision();
  const auto answer = [this, id, leader](
                          WriteOutcome outcome, uint64_t at,
                          const std::vector<std::string>& failed) {
    if (!leader_ || leader_->revision() != leader) return;
    leader_->OnWriteAnswer(id, outcome, at, failed, now_);
    ExecuteActions();
  };
  if (state_down) {
    After(kLatencySeconds,
          [answer] { answer(WriteOutcome::kNotExecuted, 0, {}); });
    return;
  }
  if (txn.mutations.size() > state_takes) {
    After(kLatencySeconds, [answer] { answer(WriteOutcome::kRefused, 0, {}); });
    return;
  }
  Fate fate = std::exchange(next_write, Fate::kNormal);
  double late = next_write_late_seconds;
  double again = std::exchange(next_write_again_seconds, 0);
  if (late_writes) {
    LateWrites& w = *late_writes;
    const auto happens = [&](double share) {
      return std::bernoulli_distribution(share)(w.random);
    };
    const auto seconds = [&] {
      return std::uniform_real_distribution<double>(
          w.least_seconds, w.longest_seconds)(w.random);
    };
    if (fate == Fate::kNormal && happens(w.unanswered)) {
      fate = Fate::kLate;
      late = seconds();
    }
    if (fate == Fate::kNormal && w.answer_lost > 0 && happens(w.answer_lost)) {
      fate = Fate::kLostAnswer;
    }
    if (again <= 0 && happens(w.copied)) again = seconds();
  }
  const double delay = fate == Fate::kLate ? late : kLatencySeconds;
  After(delay, [this, txn, fate, answer] {
    std::vector<std::string> failed;
    const uint64_t at =
        fate == Fate::kLate ? ApplyLate(txn) : Apply(txn, &failed);
    if (fate != Fate::kNormal) return;
    answer(at > 0 ? WriteOutcome::kApplied : WriteOutcome::kConflict, at,
           failed);
  });
  if (again > 0) After(delay + again, [this, txn] { ApplyLate(txn); });
  if (fate != Fate::kNormal) {
    After(1.5, [answer] { answer(WriteOutcome::kUnknown, 0, {}); });
  }
}

std::string Sim::RecordedStatus(const std::string& id) const {
  const auto end = store_.find(keys::Of(keys::kTerminal, id));
  if (end != store_.end()) {
    const bool done = std::get<TerminalRecord>(end->second.first).state ==
                      TerminalState::kDone;
    return done ? "done" : "aborted";
  }
  if (store_.contains(keys::Of(keys::kWaiting, id))) return "pending";
  const auto live = store_.find(keys::Of(keys::kJob, id));
  if (live == store_.end()) return "unknown";
  const bool done = std::get<JobRecord>(live->second.first).terminal_state ==
                    TerminalState::kDone;
  return done ? "done" : "pending";
}

std::string Sim::RecordedAs(const std::string& id) const {
  if (store_.contains(keys::Of(keys::kWaiting, id))) return "waiting";
  const auto live = store_.find(keys::Of(keys::kJob, id));
  const auto ended = store_.find(keys::Of(keys::kTerminal, id));
  TerminalState state = TerminalState::kNone;
  if (live != store_.end()) {
    state = std::get<JobRecord>(live->second.first).terminal_state;
    if (state == TerminalState::kNone) return "live";
  } else if (ended != store_.end()) {
    state = std::get<TerminalRecord>(ended->second.first).state;
  } else {
    return "none";
  }
  return state == TerminalState::kDone ? "done" : "aborted";
}

int Sim::CountRecords(const std::string& prefix) const {
  int n = 0;
  for (auto it = store_.lower_bound(prefix);
       it != store_.end() && it->first.starts_with(prefix); ++it) {
    ++n;
  }
  return n;
}

int Sim::CountLateChanges(const std::string& prefix) const {
  return static_cast<int>(std::count_if(
      late_changes_.begin(), late_changes_.end(),
      [&](const std::string& key) { return key.starts_with(prefix); }));
}

}  // namespace oxbow::test
