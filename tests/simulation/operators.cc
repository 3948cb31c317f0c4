// Records that operators leave in the key-value store: priority tiers and
// maintenance windows, as each controller reads them.
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/sim.h"
#include "wire/tiers_json.h"

namespace oxbow::test {

void Sim::RecordTiers(std::optional<TiersRecord> record) {
  tiers_record_ = std::move(record);
  ++tiers_version_;
  const std::string key = keys::Of(keys::kOperator, wire::kTiersRecord);
  if (tiers_record_) {
    tiers_record_->version = tiers_version_;
    store_[key] = {OperatorRecord{"tiers", tiers_record_->text, tiers_version_,
                                  "", "", 0, tiers_record_->withdrawn, 0},
                   ++revision_};
  } else {
    store_.erase(key);
    ++revision_;
  }
  unwatched_changes_.emplace_back(key, revision_);
}

void Sim::FollowTiers() {
  if (state_down) return;
  controllers_[leading_];
  for (const auto& [name, node] : controllers_) {
    const bool leads = name == leading_;
    if (node.gone || node.no_state || tiers_seen_[name] == tiers_version_ ||
        (leads && now_ < stalled_until_)) {
      continue;
    }
    tiers_seen_[name] = tiers_version_;
    TiersInForce& in_force = tiers_in_force_[name];
    if (!tiers_record_) {
      in_force.OnNoRecord();
    } else if (tiers_record_->withdrawn) {
      in_force.OnWithdrawn();
    } else {
      wire::TakeTiers(tiers_record_->text, tiers_record_->version,
                      TierBounds::From(settings), &in_force);
    }
    if (leads && leader_) leader_->SetTiers(in_force.set());
  }
}

void Sim::Book(const MaintenanceWindow& booking) {
  bookings_[booking.id] = {booking, ++revision_, false};
}

void Sim::CancelBooking(const std::string& id) {
  const auto it = bookings_.find(id);
  if (it == bookings_.end()) return;
  it->second.withdrawn = true;
  it->second.version = ++revision_;
}

void Sim::ReadBookings() {
  if (state_down || now_ < rebuilt_at_) return;
  if (std::exchange(rebuilt_at_, 0) > 0) {
    for (const auto& [name, view] : booking_views_) {
      for (const auto& [id, b] : view.bookings) {
        SimBooking& known = bookings_[id];
        if (known.version < b.version) known = b;
      }
    }
  }
  std::vector<std::string> names = {leading_};
  for (const auto& [name, controller] : controllers_) names.push_back(name);
  for (const std::string& name : names) {
    if (controllers_.contains(name) && controllers_.at(name).no_state) continue;
    BookingView& view = booking_views_[name];
    for (const auto& [id, booking] : bookings_) view.bookings[id] = booking;
    view.read = now_;
  }
}

void Sim::PublishMaintenanceWindows() {
  for (const auto& [id, b] : booking_views_[leading_].bookings) {
    uint64_t& told = published_window_versions_[id];
    if (told >= b.version) continue;
    told = b.version;
    if (b.withdrawn) {
      leader_->OnMaintenanceWindowWithdrawn(id, b.version, now_);
    } else {
      leader_->OnMaintenanceWindow(b.booking, b.version, now_);
    }
  }
}

}  // namespace oxbow::test
