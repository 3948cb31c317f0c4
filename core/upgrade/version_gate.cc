#include "core/upgrade/version_gate.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum GateState;

// None leads back from kOpen. What was seen and not marked yet may be lost with
// the key-value store's data, and is recorded anew.
constexpr std::array kChanges = {
    std::pair{kClosed, kAllSeen},
    std::pair{kClosed, kOpen},
    std::pair{kAllSeen, kClosed},
    std::pair{kAllSeen, kOpen},
};

const VersionRecord* Find(const VersionGate::Versions& versions,
                          const std::string& name) {
  const auto it = versions.find(name);
  return it == versions.end() ? nullptr : &it->second;
}

bool Present(const VersionRecord* record) {
  return record != nullptr && record->version >= kRecordsVersion;
}

}  // namespace

VersionGate::VersionGate(std::string self, std::vector<std::string> peers,
                         size_t nodes)
    : self_(std::move(self)), names_(std::move(peers)), nodes_(nodes) {
  names_.push_back(self_);
}

void VersionGate::Change(GateState next) {
  if (next != state_) CheckedChange(state_, next, kChanges, "version gate");
}

bool VersionGate::AllSeen(const Versions& versions) const {
  const auto present = [&](const std::string& name) {
    return Present(Find(versions, name));
  };
  // The settings may count a controller that they don't name.
  return names_.size() >= nodes_ &&
         std::all_of(names_.begin(), names_.end(), present);
}

void VersionGate::See(const Versions& versions) {
  const VersionRecord* own = Find(versions, self_);
  const VersionRecord* mark = Find(versions, kMark);
  const bool all = AllSeen(versions);
  if (Present(mark)) {
    Change(kOpen);
  } else if (!open()) {
    Change(all ? kAllSeen : kClosed);
  }
  required_write_ = GateWrite::kNothing;
  if (!Present(own)) {
    required_write_ = GateWrite::kOwn;
    replaces_ = own == nullptr ? 0 : own->mod_revision;
  } else if (!Present(mark) && (all || open())) {
    required_write_ = GateWrite::kMark;
    replaces_ = mark == nullptr ? 0 : mark->mod_revision;
  }
}

}  // namespace oxbow
