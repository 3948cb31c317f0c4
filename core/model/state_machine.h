// Shared frame of the explicit state machines: a table of the legal changes
// and one function through which every change goes.
#pragma once

#include <array>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <utility>

namespace oxbow {

// A change of state that the table does not allow: a defect in the program.
// The node reacts by giving up leadership and rebuilding from what is recorded.
class IllegalTransition : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

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
