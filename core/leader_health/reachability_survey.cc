#include "core/leader_health/reachability_survey.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>

namespace oxbow {

bool IsReachabilityText(const std::string& text, size_t count) {
  return text.size() == count &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return c == ReachabilityAnswer::kReached ||
                  c == ReachabilityAnswer::kNotReached ||
                  c == ReachabilityAnswer::kNotAsked;
         });
}

int ReachabilityAdvantage(const ReachabilityAnswer& self,
                          const ReachabilityAnswer& other) {
  int more = 0;
  for (size_t i = 0; i < other.machines.size(); ++i) {
    if (other.machines[i] == ReachabilityAnswer::kNotAsked) continue;
    more +=
        static_cast<int>(other.Reaches(i)) - static_cast<int>(self.Reaches(i));
  }
  return more;
}

bool IsSignificantAdvantage(int more, int asked) {
  constexpr double kProbeFails = 0.1;
  constexpr double kChance = 0.0101;  // two of two count
  if (more <= 0 || asked <= 0 || more > asked) return false;
  const boost::math::binomial_distribution<double> failures(asked, kProbeFails);
  const double chance =
      boost::math::cdf(boost::math::complement(failures, more - 1));
  return chance < kChance;
}

}  // namespace oxbow
