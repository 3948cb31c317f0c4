#include "core/controller/catalog.h"

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

TerminalRecord EndOf(const JobRecord& job) {
  return {job.terminal_state, job.spec->tasks, 0};
}

}  // namespace

uint64_t Catalog::StampOf(const std::string& key) const {
  if (key == keys::kLeader) return leader_.stamp;
  uint64_t stamp = 0;
  EachKind([&](const auto& map, std::string_view prefix) {
    if (!key.starts_with(prefix)) return;
    if (const auto* r = Find(map, key, prefix)) stamp = r->stamp;
  });
  return stamp;
}

void Catalog::Store(const std::string& key, const Record& record,
                    uint64_t stamp) {
  if (const auto* leader = std::get_if<LeaderRecord>(&record)) {
    leader_ = *leader;
    leader_.stamp = stamp;
    return;
  }
  VisitKinds(*this, [&](auto& map, std::string_view prefix) {
    using Kind = typename std::remove_reference_t<decltype(map)>::mapped_type;
    const auto* known = std::get_if<Kind>(&record);
    if (known == nullptr || !key.starts_with(prefix)) return;
    Kind& entry = map[key.substr(prefix.size())];
    entry = *known;
    entry.stamp = stamp;
  });
  const auto* job = std::get_if<JobRecord>(&record);
  if (job == nullptr) return;
  ReleaseOwedWaiting(key.substr(keys::kJob.size()));
  if (job->terminal_state == TerminalState::kDone) {
    RememberEnd(key.substr(keys::kJob.size()), EndOf(*job));
  }
}

void Catalog::ReleaseOwedWaiting(const std::string& id) {
  if (owed_.empty()) return;
  const std::string key = keys::Of(keys::kWaiting, id);
  if (owed_.erase(key) == 0) return;
  // What the state service holds of it the leader deletes.
  if (StampOf(key) == 0) Remove(key);
}

void Catalog::SetStamp(const std::string& key, uint64_t stamp) {
  VisitKinds(*this, [&](auto& map, std::string_view prefix) {
    if (!key.starts_with(prefix)) return;
    if (auto* r = Find(map, key, prefix)) r->stamp = stamp;
  });
}

Record Catalog::RecordOf(const std::string& key) const {
  Record out;
  EachKind([&](const auto& map, std::string_view prefix) {
    if (!key.starts_with(prefix)) return;
    if (const auto* r = Find(map, key, prefix)) out = *r;
  });
  return out;
}

void Catalog::Remove(const std::string& key) {
  owed_.erase(key);
  if (key == keys::kLeader) {
    leader_ = {};
    return;
  }
  VisitKinds(*this, [&](auto& map, std::string_view prefix) {
    if (key.starts_with(prefix)) map.erase(key.substr(prefix.size()));
  });
}

bool Catalog::Put(const std::string& key, const Record& record,
                  uint64_t stamp) {
  if (key == keys::kEpoch || key.starts_with(keys::kEpochMark)) {
    return PutEpoch(key, record, stamp);
  }
  if (owed_.contains(key)) return PutOverOwed(key, record, stamp);
  const uint64_t known = StampOf(key);
  const auto* job = std::get_if<JobRecord>(&record);
  if (job != nullptr && job->terminal_state != TerminalState::kNone) {
    const std::string id = key.substr(keys::kJob.size());
    if (job->terminal_state == TerminalState::kDone) {
      RememberEnd(id, EndOf(*job));
    }
    // An end that was read may have been told, so it is never set aside for a
    // live record that looks newer: the service has gone back since that one.
    const auto live = jobs_.find(id);
    if (live != jobs_.end() &&
        live->second.terminal_state == TerminalState::kNone) {
      Store(key, record, stamp);
      return true;
    }
  }
  if (known >= stamp) return false;
  // The watch has passed this revision and the key is not there: it has been
  // deleted since, and this value comes from an older read.
  if (known == 0 && stamp <= followed_) return false;
  Store(key, record, stamp);
  if (job != nullptr && job->terminal_state == TerminalState::kNone &&
      epoch_.number > 1 && stamp <= opened()) {
    // An older copy has come back, and the job has ended since.
    const std::string id = key.substr(keys::kJob.size());
    const TerminalState end = ended_.Find(id);
    if (end != TerminalState::kNone) {
      jobs_.at(id).terminal_state = end;
      owed_[key] = {epoch_.number - 1, stamp};
    }
  }
  return true;
}

bool Catalog::PutEpoch(const std::string& key, const Record& record,
                       uint64_t stamp) {
  if (std::get_if<EpochMark>(&record) != nullptr) {
    mark_id_ = key.substr(keys::kEpochMark.size());
    mark_stamp_ = stamp;
    return true;
  }
  const auto* epoch = std::get_if<StoreEpoch>(&record);
  if (epoch == nullptr || epoch->number < epoch_.number) return false;
  if (epoch->number == epoch_.number && stamp <= epoch_.stamp) return false;
  if (epoch_.number > 0 && epoch->number > epoch_.number) Rebase();
  epoch_ = *epoch;
  epoch_.stamp = stamp;
  return true;
}

// What is remembered against what the state service is seen to hold.
bool Catalog::PutOverOwed(const std::string& key, const Record& record,
                          uint64_t stamp) {
  const Version there{stamp > opened() ? epoch_.number : epoch_.number - 1,
                      stamp};
  const auto ended = [](const Record& r) {
    const auto* job = std::get_if<JobRecord>(&r);
    return job != nullptr && job->terminal_state != TerminalState::kNone;
  };
  const Version mine = owed_.at(key);
  const bool mine_ended = ended(RecordOf(key));
  // An end beats everything; else the later of the two.
  const bool keep = mine_ended != ended(record) ? mine_ended : mine > there;
  if (keep) {
    SetStamp(key, stamp);  // what the write that replaces it is conditioned on
    return false;
  }
  owed_.erase(key);
  Store(key, record, stamp);
  return true;
}

void Catalog::Rebase() {
  VisitKinds(*this, [this](auto& map, std::string_view prefix) {
    for (auto& [name, record] : map) {
      // What was owed already keeps the version that it is remembered by.
      owed_.try_emplace(keys::Of(prefix, name),
                        Version{epoch_.number, record.stamp});
      record.stamp = 0;
    }
  });
  leader_ = {};
  followed_ = 0;
}

std::pair<std::string, uint64_t> Catalog::Guard() const {
  if (epoch_.number == 0) return {std::string(keys::kEpoch), 0};
  return {keys::Of(keys::kEpochMark, epoch_.id), opened()};
}

Version Catalog::VersionOf(const std::string& key) const {
  const auto owed = owed_.find(key);
  if (owed != owed_.end()) return owed->second;
  const uint64_t stamp = StampOf(key);
  return {stamp > opened() || epoch_.number == 0 ? epoch_.number
                                                 : epoch_.number - 1,
          stamp};
}

bool Catalog::Remember(const std::string& key, const Record& record,
                       Version version) {
  const auto* job = std::get_if<JobRecord>(&record);
  const std::string id =
      job != nullptr ? key.substr(keys::kJob.size()) : std::string();
  if (job != nullptr && job->terminal_state == TerminalState::kNone &&
      ended_.Find(id) != TerminalState::kNone) {
    return false;
  }
  if (std::holds_alternative<WaitingRecord>(record)) {
    // What was released or has ended since does not wait again.
    const std::string waits = key.substr(keys::kWaiting.size());
    if (FindJob(waits) != nullptr ||
        FindTerminalState(waits) != TerminalState::kNone) {
      return false;
    }
  }
  const Record mine = RecordOf(key);
  uint64_t there = 0;  // what the state service holds of it
  if (!std::holds_alternative<std::monostate>(mine)) {
    const auto* my_job = std::get_if<JobRecord>(&mine);
    const bool my_end =
        my_job != nullptr && my_job->terminal_state != TerminalState::kNone;
    const bool their_end =
        job != nullptr && job->terminal_state != TerminalState::kNone;
    // Operators' records count their own versions, which no epoch resets.
    const auto* my_word = std::get_if<OperatorRecord>(&mine);
    const auto* their_word = std::get_if<OperatorRecord>(&record);
    if (my_word != nullptr && their_word != nullptr) {
      if (my_word->version >= their_word->version) return false;
    } else if (my_end != their_end ? my_end : VersionOf(key) >= version) {
      return false;
    }
    there = StampOf(key);
  }
  Store(key, record, there);
  owed_[key] = version;
  return true;
}

void Catalog::ApplyEnds() {
  for (auto& [id, job] : jobs_) {
    if (job.terminal_state != TerminalState::kNone) continue;
    job.terminal_state = ended_.Find(id);
    if (job.terminal_state == TerminalState::kNone) continue;
    std::string key = keys::Of(keys::kJob, id);
    owed_.try_emplace(key, VersionOf(key));
  }
  std::vector<std::string> ended;
  for (const auto& [id, waiting] : waiting_) {
    if (ended_.Find(id) != TerminalState::kNone) ended.push_back(id);
  }
  for (const std::string& id : ended) ReleaseOwedWaiting(id);
}

std::vector<std::string> Catalog::NewestKeys(size_t count) const {
  std::vector<std::pair<uint64_t, std::string>> all;
  const auto collect = [&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      if (record.stamp > 0) {
        all.emplace_back(record.stamp, keys::Of(prefix, name));
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

std::vector<std::string> Catalog::LatestEnds(size_t count) const {
  const size_t kept = std::min(count, terminal_order_.size());
  return {terminal_order_.end() - static_cast<long>(kept),
          terminal_order_.end()};
}

void Catalog::ForgetOwed() {
  if (owed_.empty()) return;
  const auto owed = owed_;
  for (const auto& [key, version] : owed) Remove(key);
  followed_ = 0;  // what is read again is no older value
}

void Catalog::Missing(const std::string& key, uint64_t revision) {
  if (owed_.contains(key)) {
    SetStamp(key, 0);
  } else {
    Erase(key, revision);
  }
}

bool Catalog::Erase(const std::string& key, uint64_t stamp) {
  if (owed_.contains(key)) {
    if (stamp <= opened()) return false;
  } else {
    const uint64_t known = StampOf(key);
    if (known == 0 || known > stamp) return false;
  }
  // A cancelled job's record goes once nothing is left of its tasks. From then
  // on it may be told as cancelled; see FindTerminalState.
  if (key.starts_with(keys::kJob)) {
    const std::string id = key.substr(keys::kJob.size());
    const JobRecord* job = FindJob(id);
    if (job != nullptr && job->terminal_state == TerminalState::kAborted) {
      RememberEnd(id, EndOf(*job));
    }
  }
  Remove(key);
  return true;
}

std::vector<std::string> Catalog::EraseMissing(
    const std::unordered_set<std::string>& listed, uint64_t revision) {
  std::vector<std::string> gone;
  EachKind([&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      std::string key = keys::Of(prefix, name);
      if (record.stamp <= revision && !listed.contains(key) &&
          !owed_.contains(key)) {
        gone.push_back(std::move(key));
      }
    }
  });
  const std::string leader(keys::kLeader);
  if (leader_.stamp > 0 && leader_.stamp <= revision &&
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

TerminalRecord Catalog::FindEnd(const std::string& id) const {
  const auto it = terminal_records_.find(id);
  return it == terminal_records_.end() ? TerminalRecord{} : it->second;
}

TerminalState Catalog::FindTerminalState(const std::string& id) const {
  const TerminalState state = FindEnd(id).state;
  return state != TerminalState::kNone ? state : ended_.Find(id);
}

void Catalog::RememberEnd(const std::string& id, const TerminalRecord& end) {
  ended_.Add(id, end.state);
  ReleaseOwedWaiting(id);
  if (!terminal_records_.try_emplace(id, end).second) return;
  terminal_order_.push_back(id);
  if (terminal_order_.size() > kTerminalRecordsKept) {
    terminal_records_.erase(terminal_order_.front());
    terminal_order_.pop_front();
  }
}

}  // namespace oxbow
