// Between the operators' records and the leader's calendar: what may be booked,
// and which records are bookings.
#pragma once

#include <string>

#include "app/follower.h"
#include "core/controller/controller.h"

namespace oxbow::app {

// Empty when the record may stand; else one line that names the value.
std::string CheckBooking(const Settings& settings, const Catalog& catalog,
                         const Follower& follower, const std::string& name,
                         const std::string& text);

// Tells the leader of the record, if it is a booking. One that can't be read
// leaves the version known before in force.
void TellBooking(const Catalog& catalog, const std::string& name,
                 Controller& controller, Time now);
void TellBookings(const Catalog& catalog, Controller& controller, Time now);

}  // namespace oxbow::app
