#ifndef BAOBABCOVE_AGENT_MINIONCONTROLLER_H
#define BAOBABCOVE_AGENT_MINIONCONTROLLER_H

#include "agent/OutcomeTable.h"
#include "base/HttpClient.h"
#include "base/Metrics.h"
#include "base/StateMachine.h"
#include "config/Settings.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace baobabcove {

/// Runs requests on the agent's minion. Runs at most as many requests
/// concurrently as the minion has slots, runs each request at most once and
/// stores the outcomes. Polls the minion's health endpoint and sends no new
/// requests while the minion is shutting down.
class MinionController {
public:
  MinionController(const Settings &Options, const StateCharts &Charts,
                   std::uint64_t Incarnation, Metrics &Stats);
  ~MinionController();

  wire::ExecuteReply execute(const wire::ExecuteRequest &Request);

  void setDraining(bool Draining);
  /// Returns whether the agent or the minion is shutting down, or the minion
  /// does not answer health checks.
  bool draining() const;

  wire::MinionStatus status() const;
  std::string lifecycleState() const { return Lifecycle.state(); }
  std::size_t outcomes() const { return Outcomes.size(); }

  /// Waits at most \p Timeout until no request is running. Returns false on
  /// timeout.
  bool waitIdle(Milliseconds Timeout);

private:
  Expected<void> checkPin(const wire::ExecuteRequest &Request,
                          Instant Now) const;
  bool tryAcquireSlot();
  void releaseSlot();
  wire::ExecuteReply runOnMinion(const wire::ExecuteRequest &Request,
                                 Instant Deadline);
  void healthLoop();
  bool isMinionHealthy();

  const std::uint32_t Slots;
  const std::string Service;
  const std::uint64_t Incarnation;
  Metrics &Stats;
  HttpClient Minion;
  HttpClient Health;
  OutcomeTable Outcomes;
  StateMachine Lifecycle;
  mutable std::mutex Mutex;
  std::condition_variable StateChanged;
  std::uint32_t InFlight = 0;
  bool Stopping = false;
  std::thread HealthThread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_MINIONCONTROLLER_H
