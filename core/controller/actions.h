// What the leader's core asks of the shell, and what the shell answers: plain
// data, so that clients need not know the core that decides.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/controller/catalog.h"
#include "core/model/machine.h"
#include "core/model/report.h"
#include "core/rollout/rollout.h"

namespace oxbow {

// --- actions

struct SendOrders {  // POST to the worker's command path
  std::string host;
  std::string endpoint;
  uint64_t batch = 0;
  uint64_t token = 0;
  uint64_t session = 0;
  std::vector<Order> orders;
};

struct Probe {  // ask the worker for a report
  std::string host;
  std::string endpoint;
};

struct Condition {
  std::string key;
  uint64_t stamp = 0;
};

struct KeyChange {
  std::string key;
  Record record;  // monostate deletes
};

struct WriteTransaction {
  uint64_t id = 0;
  std::vector<Condition> conditions;
  std::vector<KeyChange> changes;
};

struct ReadKeys {
  uint64_t id = 0;
  std::vector<std::string> keys;
};

struct RentMachines {
  std::string name;
  RentalRecord rental;
};

struct DeleteMachines {
  std::vector<std::string> hosts;
};

struct JobTerminated {  // recorded: whoever waits for it can be answered
  std::string id;
  TerminalState state = TerminalState::kNone;
};

// Ask an instance of a roll-out whether it is well.
struct CheckInstance {
  std::string rollout;
  ResidentKey key;
  std::string endpoint;  // of its machine's worker: the address counts
  std::shared_ptr<const RolloutSpec> spec;
};

// Ask every controller, this one too, which of these machines it reaches.
struct AskReach {
  uint64_t round = 0;
  bool sample = false;  // of all machines; else those that are silent
  std::vector<std::string> hosts;
  std::vector<std::string> endpoints;  // of the same
};

// Ask another controller to take over; if it agrees, this one steps down.
struct OfferLead {
  std::string to;
  std::string why;
};

// Ask these controllers not to keep the workers of their zone for a moment.
struct AskStandBack {
  std::vector<std::string> peers;
};

// Read again whose right to keep a zone's workers is recorded.
struct ReadDelegates {};

// A task runs whose job is not known here: read how it stands.
struct AskJob {
  std::string id;
};

// Another job waits for this one, and nobody here knows how it stands: read its
// waiting record, its live one and its end, in this order.
struct ReadEnd {
  std::string id;
};

struct Resign {
  std::string reason;
  bool unfit = false;  // others should go first
};

struct Note {  // for the log
  std::string text;
  bool detail = false;
};

using Action = std::variant<SendOrders, Probe, WriteTransaction, ReadKeys,
                            RentMachines, DeleteMachines, JobTerminated,
                            CheckInstance, AskReach, OfferLead, AskStandBack,
                            ReadDelegates, AskJob, ReadEnd, Resign, Note>;

// --- answers

enum class WriteOutcome { kApplied, kConflict, kNotExecuted, kUnknown };
enum class OrderOutcome { kExecuted, kRefused, kNotSent, kUnknown };
enum class RentOutcome { kGranted, kNoCapacity, kTryLater, kRejected };

struct ReportReply {
  // Not to be answered: the report is a copy or so old that its worker does not
  // wait any more.
  bool refused = false;
  // Not to be answered: its machine's lease is let run out.
  bool withheld = false;
  uint64_t token = 0;
  std::vector<Order> orders;
};

struct JobView {
  std::string_view status;
  uint32_t done = 0;
  uint32_t running = 0;
};

struct ListedMachine {
  std::string host;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  std::string state;
  double age_s = 0;
};

}  // namespace oxbow
