#include "core/model/machine.h"

#include <algorithm>

namespace oxbow {
namespace {

using enum MachineState;

constexpr std::array kTransitions = {
    std::pair{kBooting, kUp},       std::pair{kBooting, kDeleting},
    std::pair{kBooting, kDeleted},  std::pair{kUp, kDraining},
    std::pair{kUp, kDeleting},      std::pair{kUp, kDeleted},
    std::pair{kDraining, kUp},      std::pair{kDraining, kDeleting},
    std::pair{kDraining, kDeleted}, std::pair{kDeleting, kDeleted},
};

}  // namespace

Machine::Machine(std::string host, const MachineRecord& record, int32_t index,
                 FencingToken initial_token)
    : type_name(record.type),
      zone(record.zone),
      spot(record.spot),
      endpoint(record.endpoint),
      token(initial_token),
      token_to_confirm(initial_token),
      host_(std::move(host)),
      index_(index),
      state_(record.endpoint.empty() ? kBooting : kUp) {}

void Machine::Change(MachineState next) {
  CheckedTransition(state_, next, kTransitions, "machine");
}

Resources Machine::CapacityFor(const Job* job, Priority priority) const {
  Resources capacity = free();
  for (const Reservation& reservation : reservations) {
    const bool binds = reservation.partial ? reservation.priority == priority
                                           : reservation.priority <= priority;
    if (reservation.job != job && binds) capacity -= reservation.need;
  }
  return capacity;
}

double Machine::GbToFetch(const std::string& image, double gb) const {
  return images_.contains(image) ? 0.0 : gb;
}

bool Machine::HasImage(const std::string& image) const {
  const auto it = images_.find(image);
  return it != images_.end() && it->second.cached;
}

double Machine::image_gb_cached() const {
  double sum = 0;
  for (const auto& [name, image] : images_) {
    if (image.cached) sum += image.gb;
  }
  return sum;
}

double Machine::image_gb_queued() const {
  double sum = 0;
  for (const auto& [name, image] : images_) {
    if (!image.cached) sum += image.gb;
  }
  return sum;
}

void Machine::QueueImage(const std::string& image, double gb, Time now) {
  auto [it, added] = images_.try_emplace(image);
  if (added) it->second = {gb, false, now, now};
  it->second.used_at = now;
}

void Machine::MarkImageCached(const std::string& image, double gb, Time now) {
  auto [it, added] = images_.try_emplace(image);
  Image& entry = it->second;
  if (!entry.cached) {
    if (!added && now > entry.queued_at) {
      // The time counts from when the image was queued, so the figure includes
      // the delay of the start command and the wait for a heartbeat.
      const double observed = gb / (now - entry.queued_at);
      constexpr double kNewSampleWeight = 0.4;
      bandwidth = bandwidth == 0
                      ? observed
                      : bandwidth + kNewSampleWeight * (observed - bandwidth);
    }
    entry.gb = gb;
    entry.cached = true;
  }
  entry.used_at = now;
  // The worker evicts the least recently used images, so do the same here.
  while (type != nullptr && image_gb_cached() > type->cache_gb) {
    auto oldest = images_.end();
    for (auto i = images_.begin(); i != images_.end(); ++i) {
      if (i->second.cached && i->first != image &&
          (oldest == images_.end() ||
           i->second.used_at < oldest->second.used_at)) {
        oldest = i;
      }
    }
    if (oldest == images_.end()) break;
    images_.erase(oldest);
  }
}

void Machine::DropQueuedImage(const std::string& image) {
  const auto it = images_.find(image);
  if (it != images_.end() && !it->second.cached) images_.erase(it);
}

}  // namespace oxbow
