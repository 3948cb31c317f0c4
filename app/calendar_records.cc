#include "app/calendar_records.h"

#include <spdlog/spdlog.h>

#include "core/calendar/check.h"
#include "net/loop.h"
#include "wire/calendar_json.h"

namespace oxbow::app {
namespace {

std::string IdOf(const std::string& name) {
  return name.substr(wire::kCalendarPrefix.size());
}

bool IsBooking(const std::string& name) {
  return name.starts_with(wire::kCalendarPrefix);
}

}  // namespace

std::string CheckBooking(const Settings& settings, const Catalog& catalog,
                         const Follower& follower, const std::string& name,
                         const std::string& text) {
  Booking booking;
  std::string wrong = wire::ReadBooking(IdOf(name), text, true, &booking);
  if (!wrong.empty()) return wrong;
  BookingContext context;
  context.settings = &settings;
  context.wall = net::WallNow();
  for (const auto& [host, machine] : catalog.machines()) {
    const auto type = follower.types().find(machine.type);
    if (type != follower.types().end()) context.fleet += type->second.total;
  }
  for (const auto& [other, record] : catalog.operators()) {
    Booking known;
    if (!IsBooking(other) || record.withdrawn ||
        !wire::ReadBooking(IdOf(other), record.text, true, &known).empty()) {
      continue;
    }
    if (other == name) {
      context.replaces = std::move(known);
    } else {
      context.others.push_back(std::move(known));
    }
  }
  return WhyNoBooking(booking, context);
}

void TellBooking(const Catalog& catalog, const std::string& name,
                 Controller& controller, Time now) {
  if (!IsBooking(name)) return;
  const auto it = catalog.operators().find(name);
  // A record that is missing proves nothing: the last known holds.
  if (it == catalog.operators().end()) return;
  const OperatorRecord& record = it->second;
  if (record.withdrawn) {
    controller.OnBookingWithdrawn(IdOf(name), record.version, now);
    return;
  }
  Booking booking;
  const std::string wrong =
      wire::ReadBooking(IdOf(name), record.text, true, &booking);
  if (wrong.empty()) {
    controller.OnBooking(booking, record.version, now);
  } else {
    spdlog::error("booking {} can't be read: {}", name, wrong);
  }
}

void TellBookings(const Catalog& catalog, Controller& controller, Time now) {
  for (const auto& [name, record] : catalog.operators()) {
    TellBooking(catalog, name, controller, now);
  }
}

}  // namespace oxbow::app
