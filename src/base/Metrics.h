#ifndef BAOBABCOVE_BASE_METRICS_H
#define BAOBABCOVE_BASE_METRICS_H

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Named counters and distributions of one process. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Adds \p Amount to the counter \p Name.
  void count(const std::string &Name, std::uint64_t Amount = 1);

  /// Sets the current value of \p Name, which is shown among the counters.
  void set(const std::string &Name, std::uint64_t Value);

  /// Adds a sample to the distribution \p Name. \p Value is in the unit that
  /// the name ends with, such as "_ms".
  void sample(const std::string &Name, double Value);

  /// Returns every counter, and count, mean, p50 and p99 of every distribution.
  Poco::JSON::Object::Ptr dump() const;

  /// Returns the metrics in the Prometheus text format: lines "NAME VALUE",
  /// with a cumulative histogram, the count and the sum of each distribution.
  std::string text() const;

private:
  struct Distribution;
  mutable std::mutex Mutex;
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, std::unique_ptr<Distribution>> Distributions;
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_METRICS_H
