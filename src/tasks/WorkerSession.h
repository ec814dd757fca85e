#ifndef BAOBABCOVE_TASKS_WORKERSESSION_H
#define BAOBABCOVE_TASKS_WORKERSESSION_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"
#include "tasks/Resources.h"
#include "tasks/TaskJob.h"

#include <cstdint>
#include <string>

namespace baobabcove {

/// The coordinator's state for one agent.
struct WorkerSession {
  wire::TaskReport Report;
  /// Whether the report has not been processed yet.
  bool HasNewReport = false;
  /// When the runs of the worker were last allowed to continue.
  BootInstant GrantedAt{};
  /// The current reply to the agent.
  wire::TaskOrders Orders;
  /// The reply without its revision, serialized, to detect changes.
  std::string PublishedOrders;
  /// The worker's capacity in the last report that was processed, and the one
  /// for which the orders were made.
  Resources Capacity;
  Resources OrdersCapacity;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_WORKERSESSION_H
