#include "core/upgrade/version_gate.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum GateState;

// kOpen is final. A version that was recorded and not marked yet may be lost
// with the store's data, and is recorded again.
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

bool IsPresentVersion(const VersionRecord* record) {
  return record != nullptr && record->version >= kRecordsVersion;
}

}  // namespace

VersionGate::VersionGate(std::string self, std::vector<std::string> peers,
                         size_t nodes)
    : self_(std::move(self)), names_(std::move(peers)), nodes_(nodes) {
  names_.push_back(self_);
}

void VersionGate::Change(GateState next) {
  if (next != state_) CheckedTransition(state_, next, kChanges, "version gate");
}

bool VersionGate::AllSeen(const Versions& versions) const {
  const auto is_present = [&](const std::string& name) {
    return IsPresentVersion(Find(versions, name));
  };
  // The settings may count a controller that they do not name.
  return names_.size() >= nodes_ &&
         std::all_of(names_.begin(), names_.end(), is_present);
}

void VersionGate::Update(const Versions& versions) {
  const VersionRecord* own = Find(versions, self_);
  const VersionRecord* mark = Find(versions, kMark);
  const bool all = AllSeen(versions);
  if (IsPresentVersion(mark)) {
    Change(kOpen);
  } else if (!open()) {
    Change(all ? kAllSeen : kClosed);
  }
  required_write_ = GateWrite::kNothing;
  if (!IsPresentVersion(own)) {
    required_write_ = GateWrite::kOwn;
    replaces_ = own == nullptr ? 0 : own->mod_revision;
  } else if (!IsPresentVersion(mark) && (all || open())) {
    required_write_ = GateWrite::kMark;
    replaces_ = mark == nullptr ? 0 : mark->mod_revision;
  }
}

}  // namespace oxbow
