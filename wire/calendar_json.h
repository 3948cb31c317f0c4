// Reads and writes calendar bookings (maintenance windows and peaks) as JSON:
// the form that operators write and the form that the key-value store holds.
#pragma once

#include <string>
#include <string_view>

#include "core/maintenance/maintenance_window.h"

namespace oxbow::wire {

inline constexpr std::string_view kCalendarPrefix = "calendar/";

// Whether the id is 1 to 60 lower-case letters, digits, dots, dashes or
// underscores.
bool ValidBookingId(std::string_view id);

// Parses a booking from JSON text. Returns a description of the first malformed
// field, or an empty string. `with_times` is false for an operator's
// declaration, whose times are not computed yet, and true for a stored record,
// which must contain them.
std::string ReadMaintenanceWindow(const std::string& id,
                                  const std::string& text, bool with_times,
                                  MaintenanceWindow* out);
std::string WriteBooking(const MaintenanceWindow& booking);

}  // namespace oxbow::wire
