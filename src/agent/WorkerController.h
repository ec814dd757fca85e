#ifndef BAOBABCOVE_AGENT_WORKERCONTROLLER_H
#define BAOBABCOVE_AGENT_WORKERCONTROLLER_H

#include "agent/PartTable.h"
#include "agent/WorkerClient.h"
#include "base/BoundedQueue.h"
#include "base/Metrics.h"
#include "base/StateMachine.h"
#include "config/Settings.h"
#include "rpc/Rpc.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace baobabcove {

/// Reserves, arms, runs and stops gang parts on the agent's worker and enforces
/// reservations, leases and coordinator epochs. A stop command is answered
/// immediately; its completion shows in the part's phase.
///
/// The agent of a gang's first member is the lead. It waits until every member
/// is armed, tells all members to start, and from then on renews every member's
/// lease. A member whose lease is not renewed stops itself, and a lead that
/// cannot renew a member for the length of a lease stops all members. A gang
/// therefore keeps running, or stops as a whole, without a coordinator.
class WorkerController {
public:
  /// Calls \p OnChange after a part has changed its phase, without holding a
  /// lock.
  WorkerController(const Settings &Options, const StateCharts &Charts,
                   std::unique_ptr<WorkerClient> Worker, RpcPeers &Peers,
                   Metrics &Stats, std::function<void()> OnChange);
  ~WorkerController();

  wire::CommandReply reserve(const wire::ReserveRequest &Request);
  wire::CommandReply start(const wire::StartRequest &Request);
  wire::CommandReply renew(const wire::RenewRequest &Request);
  wire::CommandReply stop(const wire::StopRequest &Request);
  wire::InventoryReply inventory(const wire::InventoryRequest &Request);

  void setDraining(bool Draining) {
    Lifecycle.applyEvent(Draining ? "drain" : "resume");
  }
  /// Returns whether new parts are refused.
  bool draining() const { return !Lifecycle.is("accepting"); }
  std::string lifecycleState() const { return Lifecycle.state(); }
  /// Returns the number of stops that wait for a thread.
  std::size_t stopsWaiting() const { return Stops.size(); }
  /// Returns the number of part events that the task chart did not allow.
  std::uint64_t refusedEvents() const;
  void observeEpoch(Epoch Observed);
  /// Records that an entry answered a heartbeat sent at \p SentAt, and that the
  /// entry's last contact with the coordinator was \p CoordinatorAge earlier.
  void onEntryReply(Instant SentAt, Milliseconds CoordinatorAge);
  wire::WorkerStatus status() const;
  /// Waits at most \p Timeout until every part has ended. Returns false on
  /// timeout.
  bool waitIdle(Milliseconds Timeout);

private:
  /// State of a gang of which this agent is the lead.
  struct LedGang {
    wire::StartRequest Start;
    bool GoSent = false;
    /// Per member, when the last successful renewal was sent.
    std::vector<Instant> RenewedAt;
    Instant NextRenewalAt;
  };
  using GangKey = std::pair<std::string, std::uint64_t>;

  static wire::CommandReply replyOf(const Expected<void> &Done);
  bool launch(const JobId &Job, Attempt AttemptNumber);
  void executeStop(const wire::StopRequest &Request);
  void stopLoop();
  /// Returns the upper bound of all leases. After it, entries may consider the
  /// worker lost.
  Instant latestLeaseExpiry() const;
  void stopIfIsolated(Instant Now);
  void superviseLoop();
  void superviseOnce();
  void stopOrphanedTasks();
  void leadLoop();
  void leadRound(const GangKey &Key, LedGang &Gang);
  std::vector<wire::CommandReply> renewMembers(const LedGang &Gang, bool Go);
  bool memberFailed(const wire::CommandReply &Reply, bool GoSent) const;
  /// Returns whether the member has stopped with a checkpoint. When a whole
  /// gang is told to checkpoint, its members stop one after the other.
  static bool memberCheckpointed(const wire::CommandReply &Reply);
  void stopGang(const LedGang &Gang);
  std::vector<std::pair<GangKey, LedGang>> dueGangs(Instant Now);
  void updateLedGang(const GangKey &Key, const LedGang &Gang, bool Keep);

  const NodeId Self;
  const WorkerSize Size;
  const Milliseconds Lease;
  const Milliseconds IsolationTimeout;
  const Milliseconds AutonomyTimeout;
  std::unique_ptr<WorkerClient> Worker;
  RpcPeers &Peers;
  Metrics &Stats;
  const std::function<void()> OnChange;
  StateMachine Lifecycle;
  std::atomic<bool> ShuttingDown{false};
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  PartTable Parts;
  std::map<GangKey, LedGang> LedGangs;
  /// When the last answered heartbeat was sent, and the time of the latest
  /// contact of any entry with the coordinator.
  Instant EntryRepliedAt;
  Instant CoordinatorContactAt;
  bool Stopping = false;
  /// Whether all tasks of earlier incarnations of this agent have stopped.
  bool OrphansStopped = false;
  /// Stops that wait for a thread; normally one per running part.
  BoundedQueue<wire::StopRequest> Stops;
  std::vector<std::thread> StopThreads;
  std::thread SuperviseThread;
  std::thread LeadThread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_WORKERCONTROLLER_H
