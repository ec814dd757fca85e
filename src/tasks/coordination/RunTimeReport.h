/// \file
/// Shows operators what the run time model has learned.

#ifndef BAOBABCOVE_TASKS_COORDINATION_RUNTIMEREPORT_H
#define BAOBABCOVE_TASKS_COORDINATION_RUNTIMEREPORT_H

#include "base/Metrics.h"
#include "tasks/coordination/TaskRunTimes.h"

#include <Poco/JSON/Object.h>

namespace baobabcove {

/// Counts the runs since the last call in run_time_samples, and adds their
/// predicted durations, in percent of the actual ones, to
/// run_time_predicted_percent.
void recordPredictions(TaskRunTimes &RunTimes, Metrics &Stats);

/// Adds the known speeds of workers, in percent of the nominal speed, to
/// worker_speed_percent.
void recordSpeeds(const TaskRunTimes &RunTimes, Metrics &Stats);

/// Returns the rows of the model with the most samples, and the known speeds.
Poco::JSON::Object::Ptr describe(const TaskRunTimes &RunTimes);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_RUNTIMEREPORT_H
