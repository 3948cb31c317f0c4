// The store operations that end a job. First its terminal state is set in the
// live record; once no task of the job can be on any machine, the record is
// moved to the terminal records.
#pragma once

#include <string>
#include <string_view>

#include "core/leader_context/leader_context.h"
#include "core/read_consistency/read_consistency_gate.h"
#include "core/store_writes/store_operation.h"

namespace oxbow {

class JobLifecycle;

// Sets the terminal state in the record of a live job.
class FinishJobOperation : public StoreOperation {
 public:
  FinishJobOperation(LeaderContext& context,
                     ReadConsistencyGate& consistency_gate,
                     JobLifecycle& job_lifecycle, std::string job_id,
                     TerminalState terminal_state);
  std::string_view kind() const override { return "finish job"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  Catalog& catalog_;
  ReadConsistencyGate& consistency_gate_;
  JobLifecycle& job_lifecycle_;
  const TerminalState terminal_state_;
};

// Moves the record of a job that has ended from the live to the terminal
// records.
class RetireJobOperation : public StoreOperation {
 public:
  RetireJobOperation(LeaderContext& context,
                     ReadConsistencyGate& consistency_gate, std::string job_id);
  std::string_view kind() const override { return "retire job"; }
  BuildResult Build(CompareAndSwap* txn) const override;
  void OnRecorded(uint64_t revision, Time now) override;

 private:
  LeaderContext& context_;
  Catalog& catalog_;
  ReadConsistencyGate& consistency_gate_;
};

}  // namespace oxbow
