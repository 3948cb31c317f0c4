#include "app/calendar_records.h"

#include <spdlog/spdlog.h>

#include "core/maintenance/window_validation.h"
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
                         const StoreWatcher& watcher, const std::string& name,
                         const std::string& text) {
  MaintenanceWindow booking;
  std::string wrong =
      wire::ReadMaintenanceWindow(IdOf(name), text, true, &booking);
  if (!wrong.empty()) return wrong;
  WindowValidationContext context;
  context.settings = &settings;
  context.wall = net::WallNow();
  for (const auto& [host, machine] : catalog.machines()) {
    const auto type = watcher.types().find(machine.type);
    if (type != watcher.types().end()) context.fleet += type->second.total;
  }
  for (const auto& [other, record] : catalog.operator_records()) {
    MaintenanceWindow known;
    if (!IsBooking(other) || record.withdrawn ||
        !wire::ReadMaintenanceWindow(IdOf(other), record.text, true, &known)
             .empty()) {
      continue;
    }
    if (other == name) {
      context.replaces = std::move(known);
    } else {
      context.others.push_back(std::move(known));
    }
  }
  const std::optional<WindowError> error = FindWindowError(booking, context);
  return error ? Render(*error) : std::string();
}

void PublishMaintenanceWindow(const Catalog& catalog, const std::string& name,
                              Leader& leader, Time now) {
  if (!IsBooking(name)) return;
  const auto it = catalog.operator_records().find(name);
  // A missing record does not mean that the booking was withdrawn, so the
  // version that the leader already has stays in force.
  if (it == catalog.operator_records().end()) return;
  const OperatorRecord& record = it->second;
  if (record.withdrawn) {
    leader.OnMaintenanceWindowWithdrawn(IdOf(name), record.version, now);
    return;
  }
  MaintenanceWindow booking;
  const std::string wrong =
      wire::ReadMaintenanceWindow(IdOf(name), record.text, true, &booking);
  if (wrong.empty()) {
    leader.OnMaintenanceWindow(booking, record.version, now);
  } else {
    spdlog::error("cannot read the calendar booking {}: {}", name, wrong);
  }
}

void PublishMaintenanceWindows(const Catalog& catalog, Leader& leader,
                               Time now) {
  for (const auto& [name, record] : catalog.operator_records()) {
    PublishMaintenanceWindow(catalog, name, leader, now);
  }
}

}  // namespace oxbow::app
