// Between the operators' records and the leader's calendar: what may be booked,
// and which records are bookings.
#pragma once

#include <string>

#include "app/store_watcher.h"
#include "core/leader/leader.h"

namespace oxbow::app {

// Empty when the record may stand; else one line that names the value.
std::string CheckBooking(const Settings& settings, const Catalog& catalog,
                         const StoreWatcher& watcher, const std::string& name,
                         const std::string& text);

// Tells the leader of the record, if it is a booking. One that can't be read
// leaves the version known before in force.
void PublishMaintenanceWindow(const Catalog& catalog, const std::string& name,
                              Leader& controller, Time now);
void PublishMaintenanceWindows(const Catalog& catalog, Leader& controller,
                               Time now);

}  // namespace oxbow::app
