// Connects the operators' records with the leader's calendar of maintenance
// windows: validates bookings and passes them to the leader. A booking is an
// operators' record that describes one maintenance window.
#pragma once

#include <string>

#include "app/store_watcher.h"
#include "core/leader/leader.h"

namespace oxbow::app {

// Validates the text of a booking. Returns an empty string if the booking is
// valid, else a one-line error that names the invalid value.
std::string CheckBooking(const Settings& settings, const Catalog& catalog,
                         const StoreWatcher& watcher, const std::string& name,
                         const std::string& text);

// Passes the record of this name to the leader if it is a booking. If its text
// cannot be parsed, the version that the leader already has stays in force.
void PublishMaintenanceWindow(const Catalog& catalog, const std::string& name,
                              Leader& leader, Time now);
// Passes all bookings in the catalog to the leader.
void PublishMaintenanceWindows(const Catalog& catalog, Leader& leader,
                               Time now);

}  // namespace oxbow::app
