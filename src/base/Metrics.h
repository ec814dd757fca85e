/// \file
/// Named figures of a process, kept by Boost.Accumulators.

#ifndef BAOBABCOVE_BASE_METRICS_H
#define BAOBABCOVE_BASE_METRICS_H

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Counters and distributions of one process. All members may be called from
/// any thread.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Adds \p Amount to the counter \p Name.
  void count(const std::string &Name, std::uint64_t Amount = 1);

  /// Adds a sample, in the unit that the name ends with.
  void sample(const std::string &Name, double Value);

  /// Every counter, and count, mean, p50 and p99 of every distribution.
  Poco::JSON::Object::Ptr dump() const;

  /// The same as lines "NAME VALUE", with a histogram of each distribution:
  /// the samples up to each bound, and all of them under "+Inf".
  std::string text() const;

private:
  struct Distribution;
  mutable std::mutex Mutex;
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, std::unique_ptr<Distribution>> Distributions;
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_METRICS_H
