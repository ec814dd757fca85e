#include "base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <sstream>

namespace baobabcove {

namespace acc = boost::accumulators;

namespace {

/// Upper bounds of the histogram buckets, in the unit of the distribution.
constexpr std::array<int, 12> BucketBounds = {1,   2,   5,   10,   20,   50,
                                              100, 200, 500, 1000, 2000, 5000};
const std::string Prefix = "baobabcove_";

} // namespace

struct Metrics::Distribution {
  using Quantile =
      acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>
      Moments;
  Quantile Median{acc::quantile_probability = 0.5};
  Quantile P99{acc::quantile_probability = 0.99};
  double Sum = 0;
  std::array<std::uint64_t, BucketBounds.size()> BucketCounts{};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, std::uint64_t Amount) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Counters[Name] += Amount;
}

void Metrics::set(const std::string &Name, std::uint64_t Value) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Counters[Name] = Value;
}

void Metrics::sample(const std::string &Name, double Value) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto &Samples = Distributions[Name];
  if (!Samples)
    Samples = std::make_unique<Distribution>();
  Samples->Moments(Value);
  Samples->Median(Value);
  Samples->P99(Value);
  Samples->Sum += Value;
  for (std::size_t B = 0; B < BucketBounds.size(); ++B)
    Samples->BucketCounts[B] += Value <= BucketBounds[B] ? 1 : 0;
}

std::string Metrics::text() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::ostringstream Out;
  for (const auto &[Name, Value] : Counters)
    Out << Prefix << Name << ' ' << Value << '\n';
  for (const auto &[Name, Samples] : Distributions) {
    const std::string FullName = Prefix + Name;
    for (std::size_t B = 0; B < BucketBounds.size(); ++B)
      Out << FullName << "_bucket{le=\"" << BucketBounds[B] << "\"} "
          << Samples->BucketCounts[B] << '\n';
    const auto Count = acc::count(Samples->Moments);
    Out << FullName << "_bucket{le=\"+Inf\"} " << Count << '\n'
        << FullName << "_count " << Count << '\n'
        << FullName << "_sum " << Samples->Sum << '\n';
  }
  return Out.str();
}

Poco::JSON::Object::Ptr Metrics::dump() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Poco::JSON::Object::Ptr Out = new Poco::JSON::Object;
  for (const auto &[Name, Value] : Counters)
    Out->set(Name, Value);
  for (const auto &[Name, Samples] : Distributions) {
    Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
    Row->set("count", acc::count(Samples->Moments));
    Row->set("mean", acc::mean(Samples->Moments));
    Row->set("p50", acc::p_square_quantile(Samples->Median));
    Row->set("p99", acc::p_square_quantile(Samples->P99));
    Out->set(Name, Row);
  }
  return Out;
}

} // namespace baobabcove
