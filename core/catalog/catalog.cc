#include "core/catalog/catalog.h"

#include <algorithm>
#include <functional>

namespace oxbow {
namespace {

constexpr size_t kTerminalRecordsKept = 20'000;

template <typename Map>
auto* Find(Map& map, std::string_view key, std::string_view prefix) {
  const auto it = map.find(std::string(key.substr(prefix.size())));
  return it == map.end() ? nullptr : &it->second;
}

TerminalRecord TerminalStateOf(const JobRecord& job) {
  return {job.terminal_state, job.spec->tasks, 0};
}

}  // namespace

uint64_t Catalog::ModRevisionOf(const std::string& key) const {
  if (key == keys::kLeader) return leader_.mod_revision;
  uint64_t mod_revision = 0;
  ForEachKind([&](const auto& map, std::string_view prefix) {
    if (!key.starts_with(prefix)) return;
    if (const auto* r = Find(map, key, prefix)) mod_revision = r->mod_revision;
  });
  return mod_revision;
}

void Catalog::Store(const std::string& key, const Record& record,
                    uint64_t mod_revision) {
  if (const auto* leader = std::get_if<LeaderRecord>(&record)) {
    leader_ = *leader;
    leader_.mod_revision = mod_revision;
    return;
  }
  VisitKinds(*this, [&](auto& map, std::string_view prefix) {
    using Kind = typename std::remove_reference_t<decltype(map)>::mapped_type;
    const auto* known = std::get_if<Kind>(&record);
    if (known == nullptr || !key.starts_with(prefix)) return;
    Kind& entry = map[key.substr(prefix.size())];
    entry = *known;
    entry.mod_revision = mod_revision;
  });
  const auto* job = std::get_if<JobRecord>(&record);
  if (job == nullptr) return;
  DropPendingWaitingRecord(key.substr(keys::kJob.size()));
  if (job->terminal_state == TerminalState::kDone) {
    RememberTerminalState(key.substr(keys::kJob.size()), TerminalStateOf(*job));
  }
}

void Catalog::DropPendingWaitingRecord(const std::string& id) {
  if (pending_writes_.empty()) return;
  const std::string key = keys::Of(keys::kWaiting, id);
  if (pending_writes_.erase(key) == 0) return;
  // The store's copy, if there is one, is deleted by the leader.
  if (ModRevisionOf(key) == 0) Remove(key);
}

void Catalog::SetModRevision(const std::string& key, uint64_t mod_revision) {
  VisitKinds(*this, [&](auto& map, std::string_view prefix) {
    if (!key.starts_with(prefix)) return;
    if (auto* r = Find(map, key, prefix)) r->mod_revision = mod_revision;
  });
}

Record Catalog::RecordOf(const std::string& key) const {
  Record out;
  ForEachKind([&](const auto& map, std::string_view prefix) {
    if (!key.starts_with(prefix)) return;
    if (const auto* r = Find(map, key, prefix)) out = *r;
  });
  return out;
}

void Catalog::Remove(const std::string& key) {
  pending_writes_.erase(key);
  if (key == keys::kLeader) {
    leader_ = {};
    return;
  }
  VisitKinds(*this, [&](auto& map, std::string_view prefix) {
    if (key.starts_with(prefix)) map.erase(key.substr(prefix.size()));
  });
}

bool Catalog::Put(const std::string& key, const Record& record,
                  uint64_t mod_revision) {
  if (key == keys::kEpoch || key.starts_with(keys::kEpochMark)) {
    return PutEpoch(key, record, mod_revision);
  }
  if (pending_writes_.contains(key))
    return PutOverPending(key, record, mod_revision);
  const uint64_t known = ModRevisionOf(key);
  const auto* job = std::get_if<JobRecord>(&record);
  if (job != nullptr && job->terminal_state != TerminalState::kNone) {
    const std::string id = key.substr(keys::kJob.size());
    if (job->terminal_state == TerminalState::kDone) {
      RememberTerminalState(id, TerminalStateOf(*job));
    }
    // A terminal state that was read may have been answered to a user, so it
    // beats a live record that looks newer: the store has gone back since then.
    const auto live = jobs_.find(id);
    if (live != jobs_.end() &&
        live->second.terminal_state == TerminalState::kNone) {
      Store(key, record, mod_revision);
      return true;
    }
  }
  if (known >= mod_revision) return false;
  // The watch has passed this revision and the key is absent: it has been
  // deleted since, and this value comes from an older read.
  if (known == 0 && mod_revision <= watched_revision_) return false;
  Store(key, record, mod_revision);
  if (job != nullptr && job->terminal_state == TerminalState::kNone &&
      epoch_.number > 1 && mod_revision <= epoch_mark_revision()) {
    // An older copy has come back, and the job has ended since.
    const std::string id = key.substr(keys::kJob.size());
    const TerminalState end = terminal_states_.Find(id);
    if (end != TerminalState::kNone) {
      jobs_.at(id).terminal_state = end;
      pending_writes_[key] = {epoch_.number - 1, mod_revision};
    }
  }
  return true;
}

bool Catalog::PutEpoch(const std::string& key, const Record& record,
                       uint64_t mod_revision) {
  if (std::get_if<EpochMark>(&record) != nullptr) {
    mark_id_ = key.substr(keys::kEpochMark.size());
    mark_mod_revision_ = mod_revision;
    return true;
  }
  const auto* epoch = std::get_if<StoreEpoch>(&record);
  if (epoch == nullptr || epoch->number < epoch_.number) return false;
  if (epoch->number == epoch_.number && mod_revision <= epoch_.mod_revision)
    return false;
  if (epoch_.number > 0 && epoch->number > epoch_.number) Rebase();
  epoch_ = *epoch;
  epoch_.mod_revision = mod_revision;
  return true;
}

// The remembered record against the one that was seen in the store.
bool Catalog::PutOverPending(const std::string& key, const Record& record,
                             uint64_t mod_revision) {
  const Version there{
      mod_revision > epoch_mark_revision() ? epoch_.number : epoch_.number - 1,
      mod_revision};
  const auto ended = [](const Record& record) {
    const auto* job = std::get_if<JobRecord>(&record);
    return job != nullptr && job->terminal_state != TerminalState::kNone;
  };
  const Version mine = pending_writes_.at(key);
  const bool mine_ended = ended(RecordOf(key));
  // A terminal state beats everything; else the later of the two.
  const bool keep = mine_ended != ended(record) ? mine_ended : mine > there;
  if (keep) {
    // What the write that replaces it is conditioned on.
    SetModRevision(key, mod_revision);
    return false;
  }
  pending_writes_.erase(key);
  Store(key, record, mod_revision);
  return true;
}

void Catalog::Rebase() {
  VisitKinds(*this, [this](auto& map, std::string_view prefix) {
    for (auto& [name, record] : map) {
      // What was pending already keeps its remembered version.
      pending_writes_.try_emplace(keys::Of(prefix, name),
                                  Version{epoch_.number, record.mod_revision});
      record.mod_revision = 0;
    }
  });
  leader_ = {};
  watched_revision_ = 0;
}

EpochGuard Catalog::Guard() const {
  if (epoch_.number == 0) return {std::string(keys::kEpoch), 0};
  return {keys::Of(keys::kEpochMark, epoch_.id), epoch_mark_revision()};
}

Version Catalog::VersionOf(const std::string& key) const {
  const auto pending_writes = pending_writes_.find(key);
  if (pending_writes != pending_writes_.end()) return pending_writes->second;
  const uint64_t mod_revision = ModRevisionOf(key);
  return {mod_revision > epoch_mark_revision() || epoch_.number == 0
              ? epoch_.number
              : epoch_.number - 1,
          mod_revision};
}

bool Catalog::MergeRetained(const std::string& key, const Record& record,
                            Version version) {
  const auto* job = std::get_if<JobRecord>(&record);
  const std::string id =
      job != nullptr ? key.substr(keys::kJob.size()) : std::string();
  if (job != nullptr && job->terminal_state == TerminalState::kNone &&
      terminal_states_.Find(id) != TerminalState::kNone) {
    return false;
  }
  if (std::holds_alternative<WaitingRecord>(record)) {
    // A job that was released or has ended since does not wait again.
    const std::string waits = key.substr(keys::kWaiting.size());
    if (FindJob(waits) != nullptr ||
        FindTerminalState(waits) != TerminalState::kNone) {
      return false;
    }
  }
  const Record mine = RecordOf(key);
  uint64_t store_mod_revision = 0;
  if (!std::holds_alternative<std::monostate>(mine)) {
    const auto* my_job = std::get_if<JobRecord>(&mine);
    const bool my_end =
        my_job != nullptr && my_job->terminal_state != TerminalState::kNone;
    const bool their_end =
        job != nullptr && job->terminal_state != TerminalState::kNone;
    // Operators' records have versions of their own, which no epoch resets.
    const auto* my_operator_record = std::get_if<OperatorRecord>(&mine);
    const auto* their_operator_record = std::get_if<OperatorRecord>(&record);
    if (my_operator_record != nullptr && their_operator_record != nullptr) {
      if (my_operator_record->version >= their_operator_record->version)
        return false;
    } else if (my_end != their_end ? my_end : VersionOf(key) >= version) {
      return false;
    }
    store_mod_revision = ModRevisionOf(key);
  }
  Store(key, record, store_mod_revision);
  pending_writes_[key] = version;
  return true;
}

void Catalog::ApplyTerminalStates() {
  for (auto& [id, job] : jobs_) {
    if (job.terminal_state != TerminalState::kNone) continue;
    job.terminal_state = terminal_states_.Find(id);
    if (job.terminal_state == TerminalState::kNone) continue;
    std::string key = keys::Of(keys::kJob, id);
    pending_writes_.try_emplace(key, VersionOf(key));
  }
  std::vector<std::string> ended;
  for (const auto& [id, waiting] : waiting_) {
    if (terminal_states_.Find(id) != TerminalState::kNone) ended.push_back(id);
  }
  for (const std::string& id : ended) DropPendingWaitingRecord(id);
}

std::vector<std::string> Catalog::NewestKeys(size_t count) const {
  std::vector<std::pair<uint64_t, std::string>> all;
  const auto collect = [&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      if (record.mod_revision > 0) {
        all.emplace_back(record.mod_revision, keys::Of(prefix, name));
      }
    }
  };
  collect(jobs_, keys::kJob);
  collect(waiting_, keys::kWaiting);
  collect(machines_, keys::kMachine);
  const size_t kept = std::min(count, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<long>(kept),
                    all.end(), std::greater<>());
  std::vector<std::string> out;
  for (size_t i = 0; i < kept; ++i) out.push_back(std::move(all[i].second));
  return out;
}

std::vector<std::string> Catalog::LatestTerminalStates(size_t count) const {
  const size_t kept = std::min(count, terminal_order_.size());
  return {terminal_order_.end() - static_cast<long>(kept),
          terminal_order_.end()};
}

void Catalog::ForgetPendingWrites() {
  if (pending_writes_.empty()) return;
  const auto pending_writes = pending_writes_;
  for (const auto& [key, version] : pending_writes) Remove(key);
  watched_revision_ = 0;  // what is read again is no older value
}

void Catalog::MarkMissing(const std::string& key, uint64_t revision) {
  if (pending_writes_.contains(key)) {
    SetModRevision(key, 0);
  } else {
    Erase(key, revision);
  }
}

bool Catalog::Erase(const std::string& key, uint64_t mod_revision) {
  if (pending_writes_.contains(key)) {
    if (mod_revision <= epoch_mark_revision()) return false;
  } else {
    const uint64_t known = ModRevisionOf(key);
    if (known == 0 || known > mod_revision) return false;
  }
  // A cancelled job's record is deleted once nothing is left of its tasks. From
  // then on its user may be answered; see FindTerminalState.
  if (key.starts_with(keys::kJob)) {
    const std::string id = key.substr(keys::kJob.size());
    const JobRecord* job = FindJob(id);
    if (job != nullptr && job->terminal_state == TerminalState::kAborted) {
      RememberTerminalState(id, TerminalStateOf(*job));
    }
  }
  Remove(key);
  return true;
}

std::vector<std::string> Catalog::EraseMissing(
    const std::unordered_set<std::string>& listed, uint64_t revision) {
  std::vector<std::string> gone;
  ForEachKind([&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      std::string key = keys::Of(prefix, name);
      if (record.mod_revision <= revision && !listed.contains(key) &&
          !pending_writes_.contains(key)) {
        gone.push_back(std::move(key));
      }
    }
  });
  const std::string leader(keys::kLeader);
  if (leader_.mod_revision > 0 && leader_.mod_revision <= revision &&
      !listed.contains(leader)) {
    gone.push_back(leader);
  }
  for (const std::string& key : gone) Erase(key, revision);
  return gone;
}

const JobRecord* Catalog::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const WaitingRecord* Catalog::FindWaiting(const std::string& id) const {
  const auto it = waiting_.find(id);
  if (it == waiting_.end() || FindJob(id) != nullptr ||
      FindTerminalState(id) != TerminalState::kNone) {
    return nullptr;
  }
  return &it->second;
}

bool Catalog::WasAccepted(const std::string& id) const {
  return FindJob(id) != nullptr || waiting_.contains(id) ||
         FindTerminalState(id) != TerminalState::kNone;
}

TerminalRecord Catalog::FindTerminalRecord(const std::string& id) const {
  const auto it = terminal_records_.find(id);
  return it == terminal_records_.end() ? TerminalRecord{} : it->second;
}

TerminalState Catalog::FindTerminalState(const std::string& id) const {
  const TerminalState state = FindTerminalRecord(id).state;
  return state != TerminalState::kNone ? state : terminal_states_.Find(id);
}

void Catalog::RememberTerminalState(const std::string& id,
                                    const TerminalRecord& end) {
  terminal_states_.Add(id, end.state);
  DropPendingWaitingRecord(id);
  if (!terminal_records_.try_emplace(id, end).second) return;
  terminal_order_.push_back(id);
  if (terminal_order_.size() > kTerminalRecordsKept) {
    terminal_records_.erase(terminal_order_.front());
    terminal_order_.pop_front();
  }
}

}  // namespace oxbow
