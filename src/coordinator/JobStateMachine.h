#ifndef BAOBABCOVE_COORDINATOR_JOBSTATEMACHINE_H
#define BAOBABCOVE_COORDINATOR_JOBSTATEMACHINE_H

#include "baobabcove/Scheduler.h"
#include "baobabcove/StateChart.h"
#include "base/Metrics.h"
#include "wire.pb.h"

namespace baobabcove {

/// Applies the events of the job state chart to job records. Thread-safe.
class JobStateMachine {
public:
  JobStateMachine(const StateChart &Chart, Metrics &Stats)
      : Chart(Chart), Stats(Stats) {}

  /// Moves \p Record to the state that follows \p Event. Returns false, leaves
  /// the record unchanged and counts the event if the chart does not allow it.
  bool applyEvent(wire::JobRecord &Record, const std::string &Event) const;

  /// Records the end of the gang of the last attempt. Returns false and leaves
  /// the record unchanged when the job has ended or its chart does not allow
  /// it.
  bool applyGangEnd(wire::JobRecord &Record, const GangEnd &End) const;

private:
  const StateChart &Chart;
  Metrics &Stats;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_JOBSTATEMACHINE_H
