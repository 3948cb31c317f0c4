// Asks every other controller whether it leads. If none does, no promise that
// an earlier process of this controller gave can be outstanding. After a loss
// in the store the same question is asked for the leader key, since whoever
// leads by it can't be read any more.
#pragma once

#include "app/leader_health_coordinator.h"
#include "core/lease/leadership.h"
#include "core/model/settings.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// One survey at a time; it is prolonged rather than repeated.
class PeerRoleSurvey {
 public:
  // The references must outlive this object, and this object the event loop:
  // the survey is a detached coroutine. The answers go to `leadership`.
  PeerRoleSurvey(net::Loop& loop, const Settings& settings,
                 const LeaderHealthCoordinator::Peers& peers,
                 Leadership& leadership)
      : loop_(loop),
        settings_(settings),
        peers_(peers),
        leadership_(leadership),
        started_at_(loop.Now()) {}

  // Asks until a promise that was given when this object was made has ended.
  void Start();
  // Asks until a promise that was given now has ended; a survey that is under
  // way is prolonged.
  void Restart(net::Time now);
  // Whether every other controller has been asked once.
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
