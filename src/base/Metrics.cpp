#include "base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace baobabcove {

namespace acc = boost::accumulators;

struct Metrics::Distribution {
  using Quantile =
      acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>
      Moments;
  Quantile Median{acc::quantile_probability = 0.5};
  Quantile Tail{acc::quantile_probability = 0.99};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, std::uint64_t Amount) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Counters[Name] += Amount;
}

void Metrics::sample(const std::string &Name, double Value) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto &Slot = Distributions[Name];
  if (!Slot)
    Slot = std::make_unique<Distribution>();
  Slot->Moments(Value);
  Slot->Median(Value);
  Slot->Tail(Value);
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
    Row->set("p99", acc::p_square_quantile(Samples->Tail));
    Out->set(Name, Row);
  }
  return Out;
}

} // namespace baobabcove
