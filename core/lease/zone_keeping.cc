#include "core/lease/zone_keeping.h"

#include <algorithm>

namespace oxbow {
namespace {

constexpr double kTimerMargin = 0.05;  // s, as in Session

}  // namespace

double ZoneMargin(const WorkerSettings& workers) {
  constexpr double kOfLease = 0.15;
  return std::max(workers.report_s, kOfLease * workers.lease_s);
}

double ZoneRight(const WorkerSettings& workers) {
  return std::max(
      0.0, workers.cancel_s - workers.lease_s - ZoneMargin(workers));
}

double StandBackFor(const WorkerSettings& workers) {
  constexpr double kOfLease = 0.1;
  return kOfLease * workers.lease_s;
}

void ZoneKeeper::Granted(Time sent) {
  until_ = std::max(until_, sent + right_s_ * (1 - kDrift));
}

bool ZoneKeeper::Keep(Time now) {
  if (now >= until_ || now < stands_back_until_) return false;
  kept_ = now;
  return true;
}

bool ZoneKeeper::AskedToStandBack(Time now) {
  // One that kept a moment ago is as likely as not cut off: it goes on.
  if (kept_ >= 0 && now - kept_ < stand_s_) return false;
  stands_back_until_ =
      std::max(stands_back_until_, now + stand_s_ * (1 + kDrift));
  return true;
}

ZoneRights::ZoneRights(const Settings& settings, Time started)
    : lease_s_(settings.workers.lease_s),
      right_s_(ZoneRight(settings.workers)),
      stand_s_(StandBackFor(settings.workers)) {
  for (const PeerSettings& peer : settings.peers) {
    // What an earlier leader has granted ends by then.
    Peer& p = peers_[peer.name];
    p.zone = peer.zone;
    p.right_until = started + right_s_ * (1 + kDrift);
  }
}

void ZoneRights::Grant(const std::string& peer, const std::string& life,
                       Time now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  Peer& p = it->second;
  p.right_until = std::max(p.right_until, now + right_s_ * (1 + kDrift));
  if (p.life == life) return;
  // Its former life may have kept until it ended.
  p.life = life;
  p.stands_back_until = -1e9;
  p.kept = std::max(p.kept, now);
}

void ZoneRights::StoodBack(const std::string& peer, const std::string& life,
                           double kept_ago, Time sent, Time now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  Peer& p = it->second;
  if (p.life != life) {
    p.life = life;
    // A life that was never heard of may have begun just now, and the one
    // before it may have kept until then.
    p.kept = std::max(p.kept, now);
  }
  if (kept_ago >= 0) p.kept = std::max(p.kept, now - kept_ago * (1 - kDrift));
  p.stands_back_until =
      std::max(p.stands_back_until, sent + stand_s_ * (1 - kDrift));
}

bool ZoneRights::MayBeKept(const std::string& zone, Time now) const {
  if (right_s_ <= 0) return false;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& p = entry.second;
    if (p.zone != zone) return false;
    const Time last = now < p.stands_back_until
                          ? std::min(p.kept, p.right_until)
                          : std::min(now, p.right_until);
    return now <= last + lease_s_ * (1 + kDrift) + kTimerMargin;
  });
}

std::vector<std::string> ZoneRights::ToAsk(const std::string& zone, Time now) {
  constexpr double kAgain = 0.3;  // of what a standing back lasts
  std::vector<std::string> names;
  for (auto& [name, p] : peers_) {
    if (p.zone != zone || right_s_ <= 0 || now - p.asked < kAgain * stand_s_) {
      continue;
    }
    p.asked = now;
    names.push_back(name);
  }
  return names;
}

}  // namespace oxbow
