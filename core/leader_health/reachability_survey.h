// A reachability survey: every controller is asked at the same time which of
// the same sample of machines it reaches. Here are the answers and their
// comparison.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oxbow {

// One controller's answer to a survey.
struct ReachabilityAnswer {
  static constexpr char kReached = '1';
  static constexpr char kNotReached = '0';
  // The controller does not know the machine and did not ask it.
  static constexpr char kNotAsked = '?';

  std::string node;       // the name of the controller
  bool answered = false;  // whether it answered the survey at all
  bool may_lead = false;  // whether it reports that it could lead now
  // As it is sent: one of the characters above for each machine, in the order
  // of the question.
  std::string machines;

  bool Reaches(size_t i) const {
    return i < machines.size() && machines[i] == kReached;
  }
  bool FailsToReach(size_t i) const {
    return i < machines.size() && machines[i] == kNotReached;
  }
};

// Whether `text` is a valid value of ReachabilityAnswer::machines for a survey
// of `count` machines.
bool IsReachabilityText(const std::string& text, size_t count);

// How many machines more `other` reaches than `self`: the number that only
// `other` reaches less the number that only `self` reaches. Machines that
// `other` did not ask are left out.
int ReachabilityAdvantage(const ReachabilityAnswer& self,
                          const ReachabilityAnswer& other);

// Whether reaching `more` machines more, out of `asked`, is statistically
// significant. A probe of a reachable machine fails now and then (a lost
// packet, a pause on either side); the test assumes one failure in ten, far
// above the rate that was observed. The advantage is significant if so many
// failures at once would occur in less than about one survey in a hundred. A
// binomial test is used because no fixed threshold fits both three machines and
// a sample of a thousand. It requires 2 of 2, 3 of 3, 4 of 8 and 7 of 24
// machines.
bool IsSignificantAdvantage(int more, int asked);

// The number of machines in a survey: enough to distinguish one tenth of the
// machines being unreachable from one third, whatever the size of the fleet.
inline constexpr int kSurveySampleSize = 24;

}  // namespace oxbow
