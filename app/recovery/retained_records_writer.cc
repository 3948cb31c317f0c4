#include "app/recovery/retained_records_writer.h"

#include <utility>
#include <variant>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

}  // namespace

void RetainedRecordsWriter::Start(uint64_t epoch) {
  started_for_epoch_ = epoch;
  net::Spawn(WriteAll(epoch));
}

bool RetainedRecordsWriter::IsStale(uint64_t epoch) const {
  return context_.catalog.epoch().number != epoch ||
         detector_.verification().state() == StoreVerificationState::kLost;
}

net::Task<void> RetainedRecordsWriter::WaitUntilVerified(uint64_t epoch) {
  while (!context_.watcher.synced() || detector_.verification().state() !=
                                           StoreVerificationState::kVerified) {
    co_await context_.loop.Sleep(context_.RoundPauseSeconds());
    if (IsStale(epoch)) co_return;
  }
}

net::Task<void> RetainedRecordsWriter::WriteAll(uint64_t epoch) {
  co_await WaitUntilVerified(epoch);
  if (IsStale(epoch)) co_return;
  co_await collector_.CollectTerminalStates();
  if (IsStale(epoch)) co_return;
  size_t written_count = 0;
  const std::vector<std::string> selected = KeysToWrite();
  for (const std::string& key : selected) {
    auto outcome = WriteOutcome::kRetry;
    while (outcome == WriteOutcome::kRetry) {
      outcome = co_await WriteOne(key);
      if (outcome == WriteOutcome::kWritten) ++written_count;
      if (IsStale(epoch)) co_return;
      if (outcome == WriteOutcome::kRetry) {
        co_await context_.loop.Sleep(context_.RoundPauseSeconds());
      }
    }
  }
  if (written_count > 0) {
    logging::Warning("wrote records that only this controller retained",
                     {{"records", written_count}});
  }
  // A leader writes its pending writes by itself.
  if (IsStale(epoch) || context_.is_leading() ||
      context_.catalog.pending_writes().empty()) {
    co_return;
  }
  context_.catalog.ForgetPendingWrites();
  context_.watcher.Reread();
}

// Jobs and operators' records; all else the leader knows by itself.
std::vector<std::string> RetainedRecordsWriter::KeysToWrite() const {
  std::vector<std::string> selected;
  for (const auto& [key, version] : context_.catalog.pending_writes()) {
    if (key.starts_with(keys::kJob) || key.starts_with(keys::kWaiting) ||
        key.starts_with(keys::kOperator)) {
      selected.push_back(key);
    }
  }
  return selected;
}

bool RetainedRecordsWriter::IsStillNeeded(const std::string& key,
                                          const Record& record) const {
  if (!context_.catalog.pending_writes().contains(key) ||
      std::holds_alternative<std::monostate>(record)) {
    return false;
  }
  const std::string id = JobIdOfKey(key);
  return id.empty() ||
         context_.catalog.FindTerminalState(id) == TerminalState::kNone;
}

// A job is written as a submission is, provided that the store holds neither it
// nor its terminal state; an operators' record if there is none of its name.
std::vector<Precondition> RetainedRecordsWriter::PreconditionsFor(
    const std::string& key) const {
  const std::string id = JobIdOfKey(key);
  std::vector<Precondition> preconditions{{key, 0}};
  if (!id.empty()) preconditions.push_back({keys::Of(keys::kTerminal, id), 0});
  if (key.starts_with(keys::kWaiting)) {
    preconditions.push_back({keys::Of(keys::kJob, id), 0});
  }
  inspector_.AddEpochPrecondition(&preconditions);
  return preconditions;
}

net::Task<RetainedRecordsWriter::WriteOutcome> RetainedRecordsWriter::WriteOne(
    std::string key) {
  const Record record = context_.catalog.RecordOf(key);
  if (!IsStillNeeded(key, record)) co_return WriteOutcome::kNotNeeded;
  std::vector<Precondition> preconditions = PreconditionsFor(key);
  std::vector<Mutation> mutations{{key, record}};
  const StoreResult written = co_await context_.store.Write(
      std::move(preconditions), std::move(mutations), Urgency::kLeader);
  if (written.ok()) {
    context_.watcher.Apply(key, record, written.revision);
    co_return WriteOutcome::kWritten;
  }
  // Too large for the store's present limits: it stays retained here.
  if (written.status == StoreStatus::kRefused) {
    co_return WriteOutcome::kNotNeeded;
  }
  if (written.status != StoreStatus::kConflict) co_return WriteOutcome::kRetry;
  if (detector_.IsEpochPreconditionFailure(written.failed) ||
      JobIdOfKey(key).empty()) {
    co_return WriteOutcome::kNotNeeded;
  }
  // The job is in the store, or has ended.
  const StoreCheck result = co_await inspector_.CheckRecord(key);
  co_return result == StoreCheck::kIntact ? WriteOutcome::kNotNeeded
                                          : WriteOutcome::kRetry;
}

}  // namespace oxbow::app
