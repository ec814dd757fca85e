#ifndef BAOBABCOVE_TASKS_COORDINATION_WORKERSESSION_H
#define BAOBABCOVE_TASKS_COORDINATION_WORKERSESSION_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"
#include "tasks/Resources.h"
#include "tasks/TaskJob.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <string>

namespace baobabcove {

/// The coordinator's state for one agent.
struct WorkerSession {
  wire::TaskReport Report;
  /// Whether the report has not been processed yet.
  bool HasNewReport = false;
  /// When the runs of the worker were last allowed to continue.
  BootInstant GrantedAt{};
  /// When the agent's last call arrived.
  BootInstant CalledAt{};
  /// The current reply to the agent.
  wire::TaskOrders Orders;
  /// The reply without its revision, serialized, to detect changes.
  std::string PublishedOrders;
  /// Notified when the orders change. Calls that wait for them share it, so
  /// that it outlives the session.
  std::shared_ptr<std::condition_variable> OrdersChanged =
      std::make_shared<std::condition_variable>();
  /// The worker's capacity in the last report that was processed, and the one
  /// for which the orders were made.
  Resources Capacity;
  Resources OrdersCapacity;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_WORKERSESSION_H
