#include "core/model/job.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace oxbow {
namespace {

using enum TaskState;

constexpr std::array kTaskChanges = {
    std::pair{kPending, kStarting},
    // After a failover a task is first seen wherever it has got to.
    std::pair{kPending, kFetching},
    std::pair{kPending, kWaiting},
    std::pair{kPending, kRunning},
    std::pair{kPending, kSaving},
    std::pair{kPending, kDone},
    // Between two heartbeats a task may pass through several phases.
    std::pair{kStarting, kFetching},
    std::pair{kStarting, kWaiting},
    std::pair{kStarting, kRunning},
    std::pair{kStarting, kSaving},
    std::pair{kStarting, kDone},
    std::pair{kStarting, kPending},
    std::pair{kFetching, kWaiting},
    std::pair{kFetching, kRunning},
    std::pair{kFetching, kSaving},
    std::pair{kFetching, kDone},
    std::pair{kFetching, kPending},
    std::pair{kWaiting, kRunning},
    std::pair{kWaiting, kSaving},
    std::pair{kWaiting, kDone},
    std::pair{kWaiting, kPending},
    std::pair{kRunning, kSaving},
    std::pair{kRunning, kDone},
    std::pair{kRunning, kPending},
    std::pair{kSaving, kDone},
    std::pair{kSaving, kPending},
};

constexpr std::array kJobChanges = {
    std::pair{JobState::kAccepted, JobState::kRecordingDone},
    std::pair{JobState::kAccepted, JobState::kRecordingAbort},
    std::pair{JobState::kRecordingDone, JobState::kDone},
    std::pair{JobState::kRecordingAbort, JobState::kAborted},
    // The write had no answer and a fresh read shows what was recorded.
    std::pair{JobState::kAccepted, JobState::kDone},
    std::pair{JobState::kAccepted, JobState::kAborted},
    std::pair{JobState::kRecordingDone, JobState::kAborted},
    std::pair{JobState::kRecordingAbort, JobState::kDone},
};

bool OnMachine(TaskState state) { return state != kPending && state != kDone; }

// At most so many bytes of the word, and no part of a character.
std::string Cut(const std::string& word, size_t most) {
  const auto within = [](char c) {
    return (static_cast<unsigned char>(c) & 0xc0) == 0x80;
  };
  if (word.size() <= most) return word;
  while (most > 0 && within(word[most])) --most;
  return word.substr(0, most);
}

}  // namespace

JobRecord TerminatedRecord(const JobRecord& record, TerminalState state,
                           bool compact) {
  constexpr size_t kMostWord = 64;
  JobRecord ended = record;
  ended.terminal_state = state;
  if (!compact) return ended;
  auto spec = std::make_shared<JobSpec>(*record.spec);
  spec->types.reset();
  spec->dependencies.clear();
  spec->image = Cut(spec->image, kMostWord);
  spec->job_class = Cut(spec->job_class, kMostWord);
  ended.spec = std::move(spec);
  return ended;
}

bool JobSpec::AllowsType(const std::string& type) const {
  return !types ||
         std::find(types->begin(), types->end(), type) != types->end();
}

Job::Job(const JobRecord& record, int team, Time submitted, Time queued_since)
    : spec_(record.spec),
      team_(team),
      submitted_(submitted),
      queued_since_(queued_since),
      tasks_(record.spec->tasks) {
  pending_.resize(tasks_.size());
  for (uint32_t i = 0; i < size(); ++i) {
    pending_[i] = size() - 1 - i;  // taken from the back: task 0 first
    tasks_[i].queued = true;
  }
}

void Job::Change(JobState next) {
  CheckedTransition(state_, next, kJobChanges, "job");
}

void Job::ChangeTask(uint32_t task, TaskState next) {
  TaskSlot& slot = tasks_[task];
  if (slot.state == next) return;
  const TaskState before = slot.state;
  CheckedTransition(slot.state, next, kTaskChanges, "task");
  if (before == kRunning) --running_;
  if (next == kRunning) ++running_;
  if (!OnMachine(before) && OnMachine(next)) ++placed_;
  if (OnMachine(before) && !OnMachine(next)) --placed_;
  if (next == kDone) ++done_;
  if (next == kPending) {
    slot.machine = -1;
    if (!slot.queued) {
      slot.queued = true;
      pending_.push_back(task);
    }
  }
}

void Job::Place(uint32_t task, int32_t machine, uint64_t attempt) {
  tasks_[task].machine = machine;
  tasks_[task].attempt = attempt;
}

void Job::ChangePresence(int32_t machine, int charged_attempts, int listed) {
  Presence& here = presence_[machine];
  here.charged_attempts += charged_attempts;
  here.listed += listed;
  charged_attempts_ += charged_attempts;
  if (here.charged_attempts < 0 || here.listed < here.charged_attempts) {
    throw IllegalTransition("presence of " + id() + " below what is there");
  }
  if (here.listed == 0) presence_.erase(machine);
}

int64_t Job::PeekPending() {
  while (!pending_.empty()) {
    const uint32_t i = pending_.back();
    if (tasks_[i].state == kPending) return i;
    PopPending();  // adopted from a heartbeat while it stood in the list
  }
  return -1;
}

void Job::PopPending() {
  tasks_[pending_.back()].queued = false;
  pending_.pop_back();
}

}  // namespace oxbow
