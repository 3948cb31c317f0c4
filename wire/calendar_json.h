// Bookings of the calendar as operators write them and the records hold them.
#pragma once

#include <string>
#include <string_view>

#include "core/maintenance/maintenance_window.h"

namespace oxbow::wire {

inline constexpr std::string_view kCalendarPrefix = "calendar/";

// 1 to 60 lower-case letters, digits, dots, dashes or underscores.
bool ValidBookingId(std::string_view id);

// Reads a booking; returns what is malformed, or nothing. A declaration has no
// times yet, a record must have them.
std::string ReadMaintenanceWindow(const std::string& id,
                                  const std::string& text, bool with_times,
                                  MaintenanceWindow* out);
std::string WriteBooking(const MaintenanceWindow& booking);

}  // namespace oxbow::wire
