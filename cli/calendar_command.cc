#include "cli/calendar_command.h"

#include <dlfcn.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>

#include "app/settings.h"
#include "cli/record_client.h"
#include "cli/recurrence.h"
#include "core/maintenance/maintenance_calendar.h"
#include "core/maintenance/window_validation.h"
#include "net/loop.h"
#include "wire/calendar_json.h"

namespace oxbow::cli {
namespace {

constexpr double kHorizonSeconds = 400 * 86400.0;
// The key-value store's value also holds the version, author and note.
constexpr size_t kMaxBookingBytes = 5000;

std::string Utc(double wall) {
  if (wall <= 0) return "-";
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(wall)));
}

std::string NameOf(const std::string& id) {
  return std::string(wire::kCalendarPrefix) + id;
}

// Computes the times of a booking with the shared object oxbow_recurrence.so,
// which is in the directory of the program.
std::string WorkOut(const Horizon& horizon, MaintenanceWindow* booking) {
  std::error_code error;
  const auto program = std::filesystem::read_symlink("/proc/self/exe", error);
  const std::string path =
      (program.parent_path() / "oxbow_recurrence.so").string();
  // Never closed, since the time-zone data that it loads is used until the
  // process ends.
  void* module = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
  if (module == nullptr) return fmt::format("cannot load {}", path);
  const auto call =
      reinterpret_cast<WorkOutTimesCall>(dlsym(module, kWorkOutTimes));
  if (call == nullptr) return fmt::format("{} is of another version", path);
  std::string wrong;
  call(&horizon, booking, &wrong);
  return wrong;
}

// Computes as many times as fit into the record. `held`: the times that the
// record already contains.
std::string WorkOutWhatFits(double wall, double notice_seconds,
                            const std::vector<UtcInterval>& held,
                            MaintenanceWindow* booking) {
  for (size_t most = kMaxWindowTimes; most > 0; most /= 2) {
    std::string wrong = WorkOut({wall, kHorizonSeconds, most}, booking);
    if (!wrong.empty()) return wrong;
    if (!booking->rule.empty()) {
      // Times of a rule that start within the notice period are left out,
      // unless the record already contains them.
      std::erase_if(booking->times, [&](const UtcInterval& t) {
        return t.from < wall + notice_seconds &&
               std::none_of(
                   held.begin(), held.end(),
                   [&](const UtcInterval& o) { return o.from == t.from; });
      });
    }
    if (wire::WriteBooking(*booking).size() <= kMaxBookingBytes) return {};
  }
  return "the booking is too large for a record";
}

std::string Read(const CalendarCommand& command, MaintenanceWindow* out) {
  std::ifstream file(command.file);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file || text.empty()) return "cannot read " + command.file;
  return wire::ReadMaintenanceWindow(command.id, text, /*with_times=*/false,
                                     out);
}

void PrintTimes(const MaintenanceWindow& booking, size_t most) {
  for (size_t i = 0; i < booking.times.size() && i < most; ++i) {
    const UtcInterval& t = booking.times[i];
    std::printf("  %s to %s (%.2f h)\n", Utc(t.from).c_str(), Utc(t.to).c_str(),
                t.length() / 3600);
  }
  if (booking.times.size() > most) {
    std::printf("  and %zu more\n", booking.times.size() - most);
  }
  std::printf("  known until %s\n", booking.known_until > 0
                                        ? Utc(booking.known_until).c_str()
                                        : "the end");
}

int BadUse(const std::string& why) {
  std::fprintf(stderr, "%s\n", why.c_str());
  return kRecordBadUse;
}

bool Bookings(RecordClient& client, std::vector<MaintenanceWindow>* out,
              std::vector<NamedRecord>* records) {
  if (!client.List(std::string(wire::kCalendarPrefix), records)) {
    std::fprintf(stderr, "no answer\n");
    return false;
  }
  std::erase_if(*records, [](const auto& r) { return r.record.withdrawn; });
  for (const auto& [name, record] : *records) {
    MaintenanceWindow booking;
    const std::string wrong =
        wire::ReadMaintenanceWindow(name.substr(wire::kCalendarPrefix.size()),
                                    record.text, /*with_times=*/true, &booking);
    if (!wrong.empty()) {
      std::fprintf(stderr, "%s: %s\n", name.c_str(), wrong.c_str());
    }
    out->push_back(std::move(booking));
  }
  return true;
}

int List(RecordClient& client) {
  std::vector<MaintenanceWindow> bookings;
  std::vector<NamedRecord> records;
  if (!Bookings(client, &bookings, &records)) return kRecordRefused;
  const double wall = net::WallNow();
  for (size_t i = 0; i < bookings.size(); ++i) {
    const MaintenanceWindow& b = bookings[i];
    const auto next =
        std::find_if(b.times.begin(), b.times.end(),
                     [&](const UtcInterval& t) { return t.to > wall; });
    std::printf("%s: %s, version %llu, %s%s%s\n", b.id.c_str(),
                b.kind == WindowKind::kPeak ? "peak" : "window",
                static_cast<unsigned long long>(records[i].record.version),
                next == b.times.end() ? "no time is left"
                : next->from <= wall  ? "open now, until "
                                      : "next from ",
                next == b.times.end() ? ""
                : next->from <= wall  ? Utc(next->to).c_str()
                                      : Utc(next->from).c_str(),
                b.known_until > 0
                    ? (", known until " + Utc(b.known_until)).c_str()
                    : "");
  }
  if (bookings.empty()) std::printf("nothing is booked\n");
  return kRecordOk;
}

int Show(RecordClient& client, const std::string& id) {
  const RecordClient::Answer answer = client.Get(NameOf(id));
  if (answer.result != RecordClient::Result::kOk) {
    return RecordClient::Explain(answer);
  }
  const OperatorRecord& r = answer.record;
  std::printf("%s: version %llu by %s at %s%s\n", id.c_str(),
              static_cast<unsigned long long>(r.version), r.author.c_str(),
              Utc(r.changed_wall).c_str(), r.withdrawn ? ", cancelled" : "");
  if (!r.note.empty()) std::printf("  %s\n", r.note.c_str());
  if (r.withdrawn) return kRecordOk;
  MaintenanceWindow booking;
  const std::string wrong =
      wire::ReadMaintenanceWindow(id, r.text, true, &booking);
  if (!wrong.empty()) return BadUse(wrong);
  std::printf("  %s\n", r.text.substr(0, r.text.find("\"times\"")).c_str());
  PrintTimes(booking, 10);
  return kRecordOk;
}

// Reads the current version of a booking and the times in its record. Both stay
// unchanged if there is no record. Returns an exit code.
int Present(RecordClient& client, const std::string& id, uint64_t* version,
            std::vector<UtcInterval>* held) {
  const RecordClient::Answer answer = client.Get(NameOf(id));
  if (answer.result == RecordClient::Result::kNotFound) return kRecordOk;
  if (answer.result != RecordClient::Result::kOk) {
    return RecordClient::Explain(answer);
  }
  *version = answer.record.version;
  MaintenanceWindow booking;
  if (!answer.record.withdrawn &&
      wire::ReadMaintenanceWindow(id, answer.record.text, true, &booking)
          .empty()) {
    *held = booking.times;
  }
  return kRecordOk;
}

int Book(RecordClient& client, const CalendarCommand& command) {
  MaintenanceWindow booking;
  std::string wrong = Read(command, &booking);
  if (!wrong.empty()) return BadUse(wrong);
  uint64_t version = 0;
  std::vector<UtcInterval> held;
  const int present = Present(client, command.id, &version, &held);
  if (present != kRecordOk) return present;
  // A withdrawn booking is also replaced by naming its version, since version
  // numbers are never reused.
  if (command.version > 0) version = static_cast<uint64_t>(command.version);
  if (command.version == 0 && !held.empty()) version = 0;
  wrong =
      WorkOutWhatFits(net::WallNow(), command.notice_seconds, held, &booking);
  if (!wrong.empty()) return BadUse(wrong);
  const RecordClient::Answer answer =
      client.Put(NameOf(command.id), version, wire::WriteBooking(booking),
                 command.author, command.note);
  if (answer.result != RecordClient::Result::kOk) {
    return RecordClient::Explain(answer);
  }
  std::printf("%s: booked, version %llu\n", command.id.c_str(),
              static_cast<unsigned long long>(answer.record.version));
  PrintTimes(booking, 3);
  return kRecordOk;
}

int Cancel(RecordClient& client, const CalendarCommand& command) {
  uint64_t version = 0;
  std::vector<UtcInterval> held;
  const int present = Present(client, command.id, &version, &held);
  if (present != kRecordOk) return present;
  if (version == 0) return BadUse(command.id + " is not booked");
  if (command.version > 0) version = static_cast<uint64_t>(command.version);
  const RecordClient::Answer answer = client.Withdraw(
      NameOf(command.id), version, command.author, command.note);
  if (answer.result == RecordClient::Result::kOk) {
    std::printf("%s: cancelled\n", command.id.c_str());
    return kRecordOk;
  }
  return RecordClient::Explain(answer);
}

// Checks a declaration without writing a record.
int Check(RecordClient& client, const CalendarCommand& command) {
  MaintenanceWindow booking;
  std::string wrong = Read(command, &booking);
  if (!wrong.empty()) return BadUse(wrong);
  const double wall = net::WallNow();
  wrong = WorkOutWhatFits(wall, command.notice_seconds, {}, &booking);
  if (!wrong.empty()) return BadUse(wrong);
  PrintTimes(booking, 10);
  if (command.config.empty()) return kRecordOk;
  Settings settings;
  wrong = app::LoadSettings(command.config, &settings);
  if (!wrong.empty()) return BadUse(wrong);
  WindowValidationContext context;
  context.settings = &settings;
  context.wall = wall;
  std::vector<NamedRecord> records;
  if (!Bookings(client, &context.others, &records)) return kRecordRefused;
  std::erase_if(context.others,
                [&](const MaintenanceWindow& b) { return b.id == booking.id; });
  const std::optional<WindowError> error = FindWindowError(booking, context);
  if (error) return BadUse(Render(*error));
  std::printf("good\n");
  return kRecordOk;
}

int Next(RecordClient& client, const CalendarCommand& command) {
  std::vector<MaintenanceWindow> bookings;
  std::vector<NamedRecord> records;
  if (!Bookings(client, &bookings, &records)) return kRecordRefused;
  MaintenanceCalendar calendar(1, 0);
  calendar.OnConfirmed(0, 0);
  calendar.OnWallReading({net::WallNow(), 0, 0});
  for (const MaintenanceWindow& booking : bookings)
    calendar.AddWindow(booking, 1, 0);
  JobSpec spec;
  spec.job_class = command.job_class;
  spec.team = command.team;
  spec.need = {command.cores, command.accelerators, 0};
  const AdmissionDecision admission =
      calendar.Admit(spec, "", command.run_seconds, 0);
  if (!calendar.AppliesTo(spec, "")) {
    std::printf("no booking names this work\n");
  } else if (admission.may_start()) {
    std::printf("may start now\n");
  } else {
    std::printf(
        "waits for %s until %s\n",
        admission.window.empty() ? "a window" : admission.window.c_str(),
        admission.next_start > 0 ? Utc(admission.next_start).c_str()
                                 : "a time that is not known");
  }
  return kRecordOk;
}

// Recomputes the times of every rule, as far ahead as fits into its record.
int Extend(RecordClient& client, const CalendarCommand& command) {
  std::vector<MaintenanceWindow> bookings;
  std::vector<NamedRecord> records;
  if (!Bookings(client, &bookings, &records)) return kRecordRefused;
  int worst = kRecordOk;
  for (size_t i = 0; i < bookings.size(); ++i) {
    MaintenanceWindow& b = bookings[i];
    if (b.rule.empty() || b.known_until <= 0) continue;
    const std::vector<UtcInterval> held = b.times;
    const double before = b.known_until;
    const std::string wrong =
        WorkOutWhatFits(net::WallNow(), command.notice_seconds, held, &b);
    if (!wrong.empty()) {
      std::fprintf(stderr, "%s: %s\n", b.id.c_str(), wrong.c_str());
      worst = kRecordBadUse;
      continue;
    }
    if (b.known_until <= before && b.known_until > 0) continue;
    const RecordClient::Answer answer =
        client.Put(NameOf(b.id), records[i].record.version,
                   wire::WriteBooking(b), command.author, "extended");
    if (answer.result == RecordClient::Result::kOk) {
      std::printf("%s: known until %s\n", b.id.c_str(),
                  Utc(b.known_until).c_str());
    } else {
      worst = RecordClient::Explain(answer);
    }
  }
  return worst;
}

}  // namespace

int RunCalendar(const CalendarCommand& command) {
  if (!command.id.empty() && !wire::ValidBookingId(command.id)) {
    return BadUse(command.id + " is no id of a booking");
  }
  RecordClient client(command.address);
  if (command.verb == "book") return Book(client, command);
  if (command.verb == "list") return List(client);
  if (command.verb == "show") return Show(client, command.id);
  if (command.verb == "cancel") return Cancel(client, command);
  if (command.verb == "check") return Check(client, command);
  if (command.verb == "next") return Next(client, command);
  return Extend(client, command);
}

}  // namespace oxbow::cli
