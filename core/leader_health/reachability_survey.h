// Who reaches which machines: one question, put to every controller about the
// same machines at the same time, and what the answers say.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oxbow {

// One controller's answer. A text as it travels: one character a machine, in
// the order of the question.
struct ReachabilityAnswer {
  static constexpr char kReached = '1';
  static constexpr char kNotReached = '0';
  static constexpr char kNotAsked = '?';  // it does not know the machine

  std::string node;
  bool answered = false;
  bool may_lead = false;  // by its own word: it could take office now
  std::string machines;

  bool Reaches(size_t i) const {
    return i < machines.size() && machines[i] == kReached;
  }
  bool FailsToReach(size_t i) const {
    return i < machines.size() && machines[i] == kNotReached;
  }
};

// Whether the characters are such an answer to a question about `count`.
bool IsReachabilityText(const std::string& text, size_t count);

// How much better `other` stands than `self`: machines reached by it alone
// less those reached by self alone.
int ReachabilityAdvantage(const ReachabilityAnswer& self,
                          const ReachabilityAnswer& other);

// Whether an advantage of `more` out of `asked` can't well be chance. A good
// probe fails now and then (a lost packet, a pause on either side), here taken
// as one in ten, far above what was seen; the advantage is sure when so many
// failures at once would come less than once in a hundred rounds. No threshold
// by hand fits both three machines and a sample of a thousand: 2 of 2, 3 of 3,
// 4 of 8, 7 of 24.
bool IsSignificantAdvantage(int more, int asked);

// How many machines are asked about: enough to tell a tenth that can't be
// reached from a third, whatever the size of the fleet.
inline constexpr int kSurveySampleSize = 24;

}  // namespace oxbow
