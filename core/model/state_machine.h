// Common part of the explicit state machines: each has a table of its legal
// transitions, and every change of state goes through CheckedTransition.
#pragma once

#include <array>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <utility>

namespace oxbow {

// Thrown for a transition that the table does not contain, which is a defect in
// the program. The controller then resigns its leadership, and the next leader
// rebuilds its state from the records.
class IllegalTransition : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

// Sets `state` to `next` if `legal` contains that transition; throws
// IllegalTransition otherwise. `machine` names the state machine in the error.
template <typename State, size_t N>
void CheckedTransition(State& state, State next,
                       const std::array<std::pair<State, State>, N>& legal,
                       const char* machine) {
  for (const auto& [from, to] : legal) {
    if (from == state && to == next) {
      state = next;
      return;
    }
  }
  throw IllegalTransition(std::string(machine) + ": " +
                          std::to_string(static_cast<int>(state)) + " -> " +
                          std::to_string(static_cast<int>(next)));
}

}  // namespace oxbow
