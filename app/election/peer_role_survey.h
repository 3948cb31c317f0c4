// Asks every other controller whether it leads. If none does, no controller
// relies on a promise that an earlier process of this controller gave. The same
// question is asked after data loss in the key-value store, because a leader
// whose key was lost can no longer be found by reading the store.
#pragma once

#include "app/leader_health_coordinator.h"
#include "core/lease/leadership.h"
#include "core/model/settings.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Runs one survey at a time. Restart extends a survey that is in progress.
class PeerRoleSurvey {
 public:
  // The references must outlive this object, and this object the event loop:
  // the survey is a detached coroutine. The answers are reported to
  // `leadership`.
  PeerRoleSurvey(net::Loop& loop, const Settings& settings,
                 const LeaderHealthCoordinator::Peers& peers,
                 Leadership& leadership)
      : loop_(loop),
        settings_(settings),
        peers_(peers),
        leadership_(leadership),
        started_at_(loop.Now()) {}

  // Asks repeatedly until a promise that was given when this object was created
  // must have expired.
  void Start();
  // Asks repeatedly until a promise that was given at `now` must have expired.
  // A survey that is in progress is extended until then.
  void Restart(net::Time now);
  // Whether every other controller has been asked at least once.
  bool HasAskedAll() const { return has_asked_all_; }

 private:
  net::Task<void> Run();

  net::Loop& loop_;
  const Settings& settings_;
  const LeaderHealthCoordinator::Peers& peers_;
  Leadership& leadership_;
  net::Time started_at_;
  bool is_running_ = false;
  bool has_asked_all_ = false;
};

}  // namespace oxbow::app
