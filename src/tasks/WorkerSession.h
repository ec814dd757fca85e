/// \file
/// What the coordinator knows of one agent and wants of its worker.

#ifndef BAOBABCOVE_TASKS_WORKERSESSION_H
#define BAOBABCOVE_TASKS_WORKERSESSION_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"
#include "tasks/TaskJob.h"

#include <cstdint>

namespace baobabcove {

/// One agent, by its newest report.
struct WorkerSession {
  wire::TaskReport Report;
  /// The report has not been taken in yet.
  bool Fresh = false;
  /// When the worker was last allowed to go on.
  BootInstant GrantedAt{};
  /// What the agent is answered.
  wire::TaskOrders Orders;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_WORKERSESSION_H
