#include "core/recovery/terminal_state_index.h"

#include <charconv>
#include <vector>

namespace oxbow {
namespace {

constexpr std::string_view kPrefix = "job-";
constexpr size_t kMinDigits = 6;

}  // namespace

std::optional<uint32_t> TerminalStateIndex::NumberOf(std::string_view id) {
  if (!id.starts_with(kPrefix)) return std::nullopt;
  id.remove_prefix(kPrefix.size());
  // Only one form of each number is indexed, or two job ids would share an
  // entry.
  if (id.size() < kMinDigits || (id.size() > kMinDigits && id[0] == '0')) {
    return std::nullopt;
  }
  uint32_t number = 0;
  const auto [end, error] =
      std::from_chars(id.data(), id.data() + id.size(), number);
  if (error != std::errc() || end != id.data() + id.size()) return std::nullopt;
  return number;
}

std::string TerminalStateIndex::IdOf(uint32_t number) {
  std::string digits = std::to_string(number);
  if (digits.size() < kMinDigits)
    digits.insert(0, kMinDigits - digits.size(), '0');
  return std::string(kPrefix) + digits;
}

void TerminalStateIndex::Add(std::string_view id, TerminalState state) {
  const auto number = NumberOf(id);
  if (!number || state == TerminalState::kNone) return;
  if (done_.contains(*number) || aborted_.contains(*number)) return;
  (state == TerminalState::kDone ? done_ : aborted_).add(*number);
}

TerminalState TerminalStateIndex::Find(std::string_view id) const {
  const auto number = NumberOf(id);
  if (!number) return TerminalState::kNone;
  if (done_.contains(*number)) return TerminalState::kDone;
  if (aborted_.contains(*number)) return TerminalState::kAborted;
  return TerminalState::kNone;
}

void TerminalStateIndex::ForEachMissing(
    const TerminalStateIndex& other,
    const std::function<void(const std::string& id, TerminalState state)>&
        visit) const {
  for (const TerminalState state :
       {TerminalState::kDone, TerminalState::kAborted}) {
    const Roaring missing = Part(state) - (other.done_ | other.aborted_);
    for (const uint32_t number : missing) visit(IdOf(number), state);
  }
}

std::string TerminalStateIndex::Encode(TerminalState part) const {
  Roaring copy = Part(part);
  copy.runOptimize();
  std::string bytes(copy.getSizeInBytes(), '\0');
  copy.write(bytes.data());
  return bytes;
}

bool TerminalStateIndex::Merge(TerminalState part, const std::string& bytes) {
  try {
    const Roaring merged = Roaring::readSafe(bytes.data(), bytes.size());
    if (part == TerminalState::kDone) {
      done_ |= merged - aborted_;
    } else {
      aborted_ |= merged - done_;
    }
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace oxbow
