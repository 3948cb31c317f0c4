#include "app/rollout_coordinator.h"

#include <algorithm>
#include <utility>

#include "wire/records.h"
#include "wire/rollout_json.h"

namespace oxbow::app {
namespace {

using api::RolloutAnswer;
using api::RolloutState;
using clients::StateResult;
using clients::StateStatus;
using clients::Urgency;
using Result = RolloutAnswer::Result;

RolloutAnswer Say(Result result, std::string why) {
  RolloutAnswer answer;
  answer.result = result;
  answer.why = std::move(why);
  return answer;
}

}  // namespace

RolloutCoordinator::RolloutCoordinator(const Settings& settings,
                                       const Tuning& tuning,
                                       const Catalog& catalog,
                                       clients::StateClient& state, Seams seams)
    : settings_(settings),
      tuning_(tuning),
      catalog_(catalog),
      state_(state),
      seams_(std::move(seams)) {}

RolloutState RolloutCoordinator::StateOf(const RolloutRecord& record) const {
  RolloutState state;
  state.record = record;
  const Controller* leader = seams_.leader();
  if (leader != nullptr) {
    if (const Rollout* rollout = leader->FindRollout(record.spec->id)) {
      state.counts = rollout->Count(seams_.now());
    }
  }
  return state;
}

std::optional<std::vector<RolloutState>> RolloutCoordinator::List() {
  if (!seams_.synced()) return std::nullopt;
  std::vector<RolloutState> out;
  for (const auto& [id, record] : catalog_.rollouts()) {
    out.push_back(StateOf(record));
  }
  std::sort(out.begin(), out.end(),
            [](const RolloutState& a, const RolloutState& b) {
              return a.record.spec->id < b.record.spec->id;
            });
  return out;
}

net::Task<RolloutAnswer> RolloutCoordinator::FreshRead(std::string id) {
  // An end moves from live to ended in one step, so in this order none is
  // missed.
  for (const std::string_view prefix : {keys::kRollout, keys::kRolloutEnd}) {
    const std::string key = keys::Of(prefix, id);
    const StateResult read = co_await state_.Get(key, Urgency::kUser);
    if (read.ok()) {
      const auto* record = std::get_if<RolloutRecord>(&read.items[0].record);
      if (record == nullptr) co_return Say(Result::kTryLater, "unreadable");
      RolloutAnswer answer;
      answer.result = Result::kOk;
      answer.state.record = *record;
      answer.state.record.stamp = read.items[0].stamp;
      if (prefix == keys::kRollout) {
        seams_.apply(key, *record, read.items[0].stamp);
      }
      co_return answer;
    }
    if (read.status != StateStatus::kNotFound) {
      co_return Say(Result::kTryLater, "state unknown");
    }
  }
  co_return Say(Result::kNotFound, {});
}

net::Task<RolloutAnswer> RolloutCoordinator::Get(std::string id) {
  const auto it = catalog_.rollouts().find(id);
  if (it != catalog_.rollouts().end() && seams_.leader() != nullptr) {
    RolloutAnswer answer;
    answer.result = Result::kOk;
    answer.state = StateOf(it->second);
    co_return answer;
  }
  co_return co_await FreshRead(std::move(id));
}

net::Task<RolloutAnswer> RolloutCoordinator::Declare(
    std::shared_ptr<const RolloutSpec> spec) {
  if (!seams_.synced()) co_return Say(Result::kTryLater, "state unknown");
  const JobRecord* from = catalog_.FindJob(spec->from);
  if (from == nullptr || from->terminal_state != TerminalState::kNone) {
    co_return Say(Result::kImpossible, spec->from + " is no job that runs");
  }
  if (from->spec->kind != JobKind::kService) {
    co_return Say(Result::kImpossible, spec->from + " is no service");
  }
  const std::string why = wire::WhyNoRollout(*spec, from->spec->tasks);
  if (!why.empty()) co_return Say(Result::kImpossible, why);
  const auto& known = catalog_.rollouts();
  if (!known.contains(spec->id)) {
    for (const auto& [id, other] : known) {
      for (const std::string& job : {other.spec->from, other.spec->to}) {
        if (job == spec->from || job == spec->to) {
          co_return Say(Result::kConflict, job + " is part of roll-out " + id);
        }
      }
    }
    if (static_cast<double>(known.size()) >= tuning_.rollouts_at_once) {
      co_return Say(Result::kTooMany, "as many roll-outs as are allowed run");
    }
  }
  RolloutRecord record;
  record.spec = spec;
  record.declared_wall = net::WallNow();
  if (wire::EncodeRecord(record).size() >
      static_cast<size_t>(settings_.state.value_kb * 1024)) {
    co_return Say(Result::kImpossible, "the declaration is too large");
  }
  const std::string key = keys::Of(keys::kRollout, spec->id);
  std::vector<Condition> conditions{
      {key, 0},
      {keys::Of(keys::kRolloutEnd, spec->id), 0},
      {keys::Of(keys::kJob, spec->to), 0},
      {keys::Of(keys::kTerminal, spec->to), 0},
      {keys::Of(keys::kJob, spec->from), from->stamp}};
  std::vector<KeyChange> changes{{key, record}};
  seams_.add_guard(&conditions);
  const StateResult written = co_await state_.Write(
      std::move(conditions), std::move(changes), Urgency::kUser);
  if (written.ok()) {
    seams_.apply(key, record, written.revision);
    RolloutAnswer answer;
    answer.result = Result::kDeclared;
    answer.state.record = record;
    co_return answer;
  }
  if (written.status != StateStatus::kConflict &&
      written.status != StateStatus::kUnknown) {
    co_return Say(Result::kTryLater, "cannot be recorded now");
  }
  // Known already, perhaps by this very request: its state is the answer. A
  // roll-out of that name which says something else is a conflict.
  RolloutAnswer seen = co_await FreshRead(spec->id);
  if (seen.result == Result::kOk) {
    const RolloutSpec& theirs = *seen.state.record.spec;
    if (theirs.from != spec->from || theirs.to != spec->to) {
      co_return Say(Result::kConflict, spec->id + " is another roll-out");
    }
    co_return seen;
  }
  if (seen.result == Result::kNotFound &&
      written.status == StateStatus::kConflict) {
    for (const std::string& failed : written.failed) {
      if (failed.ends_with(spec->to)) {
        co_return Say(Result::kConflict, spec->to + " is known already");
      }
    }
  }
  co_return Say(Result::kTryLater, "cannot be recorded now");
}

net::Task<RolloutAnswer> RolloutCoordinator::Wish(std::string id,
                                                  RolloutWish wish) {
  constexpr int kTries = 3;
  for (int i = 0; i < kTries; ++i) {
    RolloutAnswer now = co_await FreshRead(id);
    if (now.result != Result::kOk) co_return now;
    RolloutRecord record = now.state.record;
    if (Ended(record.step)) {
      co_return Say(Result::kConflict, id + " has ended");
    }
    if (wish == RolloutWish::kResume && record.step != RolloutStep::kPaused &&
        record.wish != RolloutWish::kPause) {
      co_return now;  // nothing to resume
    }
    if (record.wish == wish) co_return now;
    const std::string key = keys::Of(keys::kRollout, id);
    std::vector<Condition> conditions{{key, record.stamp}};
    seams_.add_guard(&conditions);
    record.wish = wish;
    std::vector<KeyChange> changes{{key, record}};
    const StateResult written = co_await state_.Write(
        std::move(conditions), std::move(changes), Urgency::kUser);
    if (written.ok()) {
      seams_.apply(key, record, written.revision);
      now.state.record = record;
      co_return now;
    }
    // The leader has recorded a step meanwhile, or the outcome is unknown:
    // look again before anything else is said.
    if (written.status == StateStatus::kNotExecuted) break;
  }
  co_return Say(Result::kTryLater, "cannot be recorded now");
}

}  // namespace oxbow::app
