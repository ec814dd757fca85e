/// \file
/// Moves job records by the job chart.

#ifndef BAOBABCOVE_COORDINATOR_JOBLIFE_H
#define BAOBABCOVE_COORDINATOR_JOBLIFE_H

#include "baobabcove/StateChart.h"
#include "base/Metrics.h"
#include "wire.pb.h"

namespace baobabcove {

/// Interprets the job chart on records. Thread-safe.
class JobLife {
public:
  JobLife(const StateChart &Chart, Metrics &Figures)
      : Chart(Chart), Figures(Figures) {}

  /// Moves the record by \p Event. An event that the chart does not allow is
  /// counted, and the record stays as it is.
  bool move(wire::JobRecord &Record, const std::string &Event) const;

private:
  const StateChart &Chart;
  Metrics &Figures;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_JOBLIFE_H
