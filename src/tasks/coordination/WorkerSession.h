#ifndef BAOBABCOVE_TASKS_COORDINATION_WORKERSESSION_H
#define BAOBABCOVE_TASKS_COORDINATION_WORKERSESSION_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"
#include "tasks/Resources.h"
#include "tasks/TaskJob.h"
#include "tasks/coordination/AgentAdmission.h"
#include "tasks/coordination/JobTracker.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace baobabcove {

/// The coordinator's state for one agent.
struct WorkerSession {
  /// The newest report of the current agent incarnation, which its agent_life
  /// identifies.
  wire::TaskReport Report;
  AgentAdmission Agents;
  /// When an agent incarnation last called that was not the current one.
  BootInstant OtherAgentCalledAt{};
  /// Whether the report has not been processed yet.
  bool HasNewReport = false;
  /// Sequence number of the last report that was processed, and the agent
  /// incarnation that made it.
  std::uint64_t AppliedSequence = 0;
  std::uint64_t AppliedAgent = 0;
  /// When the runs of the worker were last allowed to continue.
  BootInstant GrantedAt{};
  /// When the agent's last call arrived.
  BootInstant CalledAt{};
  /// The current reply to the agent.
  wire::TaskOrders Orders;
  /// The agent incarnation that the reply was made for. No other one gets it.
  std::uint64_t OrdersAgent = 0;
  /// The reply without its revision, serialized, to detect changes.
  std::string PublishedOrders;
  /// Runs that were given up while their starts may be on their way, with the
  /// time until which they may.
  std::map<RunName, BootInstant> Bars;
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
