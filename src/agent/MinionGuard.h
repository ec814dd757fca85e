/// \file
/// Guards the slots of the minion beside this agent.

#ifndef BAOBABCOVE_AGENT_MINIONGUARD_H
#define BAOBABCOVE_AGENT_MINIONGUARD_H

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

/// Runs requests on the minion, never more at once than it has slots and each
/// at most once, and keeps their outcomes. Watches the minion's health, so
/// that a minion in graceful shutdown gets nothing new.
class MinionGuard {
public:
  MinionGuard(const Settings &Of, const StateCharts &Charts,
              std::uint64_t Incarnation, Metrics &Figures);
  ~MinionGuard();

  wire::ExecuteReply execute(const wire::ExecuteRequest &Request);

  void setDraining(bool Draining);
  /// Whether the agent or the minion is in graceful shutdown, or the minion
  /// does not answer.
  bool draining() const;

  wire::MinionStatus status() const;
  std::string life() const { return Life.state(); }
  std::size_t outcomes() const { return Outcomes.size(); }

  /// Waits until no request runs, at most \p Patience.
  bool waitIdle(Milliseconds Patience);

private:
  Expected<void> checkPin(const wire::ExecuteRequest &Request,
                          Instant Now) const;
  bool takeSlot();
  void freeSlot();
  wire::ExecuteReply runOnMinion(const wire::ExecuteRequest &Request,
                                 Instant Deadline);
  void watchHealth();
  bool minionAcceptsWork();

  const std::uint32_t Slots;
  const std::string Service;
  const std::uint64_t Incarnation;
  Metrics &Figures;
  HttpClient Minion;
  HttpClient Health;
  OutcomeTable Outcomes;
  StateMachine Life;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::uint32_t InFlight = 0;
  bool Stopping = false;
  std::thread HealthThread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_MINIONGUARD_H
