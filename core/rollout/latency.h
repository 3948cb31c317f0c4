// A histogram of health check latencies with logarithmic bins.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>

namespace oxbow {

// Covers 0.1 ms to 100 s; samples outside are counted in the underflow and
// overflow bins.
class LatencyHistogram {
 public:
  void Add(double seconds) {
    bins_(seconds);
    ++count_;
  }
  uint64_t count() const { return count_; }
  // The upper edge, in seconds, of the bin that contains the quantile `q`
  // (0 to 1); 0 if there are no samples.
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
  static constexpr double kMinSeconds = 1e-4;
  static constexpr double kMaxSeconds = 1e2;

  decltype(boost::histogram::make_histogram(
      Axis(kBins, kMinSeconds, kMaxSeconds))) bins_ =
      boost::histogram::make_histogram(Axis(kBins, kMinSeconds, kMaxSeconds));
  uint64_t count_ = 0;
};

}  // namespace oxbow
