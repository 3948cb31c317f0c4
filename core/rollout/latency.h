// Latencies of health checks, in logarithmic bins.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>

namespace oxbow {

// From 0.1 ms to 100 s; what is outside counts in the outermost bins.
class LatencyHistogram {
 public:
  void Add(double seconds) {
    bins_(seconds);
    ++count_;
  }
  uint64_t count() const { return count_; }
  // The upper edge of the bin that holds the quantile, s; 0 without samples.
  double Quantile(double q) const {
    const auto wanted = static_cast<double>(count_) * q;
    double sum = 0;
    for (const auto& bin :
         boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
      sum += static_cast<double>(*bin);
      if (count_ > 0 && sum >= wanted) return bin.bin().upper();
    }
    return 0;
  }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  static constexpr int kBins = 60;
  static constexpr double kLeast = 1e-4;  // s
  static constexpr double kMost = 1e2;

  decltype(boost::histogram::make_histogram(Axis(kBins, kLeast, kMost))) bins_ =
      boost::histogram::make_histogram(Axis(kBins, kLeast, kMost));
  uint64_t count_ = 0;
};

}  // namespace oxbow
