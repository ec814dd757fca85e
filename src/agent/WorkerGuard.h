/// \file
/// Holds the worker beside this agent to reservations, leases and epochs.

#ifndef BAOBABCOVE_AGENT_WORKERGUARD_H
#define BAOBABCOVE_AGENT_WORKERGUARD_H

#include "agent/PartTable.h"
#include "agent/WorkerClient.h"
#include "base/Metrics.h"
#include "base/Ring.h"
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

/// Reserves, arms, runs and stops parts of gangs on the worker. A stop is
/// answered at once; that it is done shows in the part's phase.
///
/// A gang is led by the agent of its first member. The lead waits until every
/// member is armed, then tells all to go, and from then on renews the lease of
/// every member. A member that is not renewed stops by itself; a lead that
/// cannot renew a member for the length of a lease stops all. So no decision
/// of a coordinator is needed for a gang to run on or to stop whole.
class WorkerGuard {
public:
  /// \p Changed is called after a part has moved, without a lock held.
  WorkerGuard(const Settings &Of, const StateCharts &Charts,
              std::unique_ptr<WorkerClient> Worker, RpcPeers &Peers,
              Metrics &Figures, std::function<void()> Changed);
  ~WorkerGuard();

  wire::CommandReply reserve(const wire::ReserveRequest &Request);
  wire::CommandReply start(const wire::StartRequest &Request);
  wire::CommandReply renew(const wire::RenewRequest &Request);
  wire::CommandReply stop(const wire::StopRequest &Request);
  wire::InventoryReply inventory(const wire::InventoryRequest &Request);

  void setDraining(bool Draining) { Life.take(Draining ? "drain" : "resume"); }
  /// Whether no new parts are taken.
  bool draining() const { return !Life.is("accepting"); }
  std::string life() const { return Life.state(); }
  /// Stops that wait for a thread.
  std::size_t stopsWaiting() const { return Stops.fill(); }
  /// Events of parts that the task chart did not allow.
  std::uint64_t refusedEvents() const;
  void raiseEpoch(Epoch Heard);
  /// An entry answered a heartbeat sent at \p SentAt; it had contact with the
  /// coordinator \p CoordinatorAge before.
  void heardEntry(Instant SentAt, Milliseconds CoordinatorAge);
  wire::WorkerStatus status() const;
  /// Waits until no part runs, at most \p Patience.
  bool waitIdle(Milliseconds Patience);

private:
  /// What the lead knows of a gang that it leads.
  struct LedGang {
    wire::StartRequest Start;
    bool Gone = false;
    /// When each member's lease was last surely renewed.
    std::vector<Instant> RenewedAt;
    Instant NextRound;
  };
  using GangKey = std::pair<std::string, std::uint64_t>;

  static wire::CommandReply replyOf(const Expected<void> &Done);
  bool launch(const JobId &Job, Attempt Number);
  void stopRunning(const wire::StopRequest &Request);
  void stopperLoop();
  /// No lease reaches beyond this, after which entries may hold the worker
  /// for gone.
  Instant horizon() const;
  void stopIfCutOff(Instant Now);
  void superviseLoop();
  void superviseOnce();
  void dropLeftovers();
  void leadLoop();
  void leadRound(const GangKey &Key, LedGang &Gang);
  std::vector<wire::CommandReply> renewAll(const LedGang &Gang, bool Go);
  bool memberBroken(const wire::CommandReply &Reply, bool Gone) const;
  /// Whether the member has ended with a checkpoint, as members do one after
  /// the other when the whole gang is told to.
  static bool memberLeft(const wire::CommandReply &Reply);
  void stopAll(const LedGang &Gang);
  std::vector<std::pair<GangKey, LedGang>> dueGangs(Instant Now);
  void keepLed(const GangKey &Key, const LedGang &Gang, bool Keep);

  const NodeId Self;
  const WorkerSize Size;
  const Milliseconds Lease;
  const Milliseconds Isolation;
  const Milliseconds Autonomy;
  std::unique_ptr<WorkerClient> Worker;
  RpcPeers &Peers;
  Metrics &Figures;
  const std::function<void()> Changed;
  StateMachine Life;
  std::atomic<bool> StoppingAll{false};
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  PartTable Parts;
  std::map<GangKey, LedGang> Led;
  /// When an entry last answered, and the last time at which one of them had
  /// contact with the coordinator.
  Instant EntryHeardAt;
  Instant CoordinatorSeenAt;
  bool Stopping = false;
  /// No task of an earlier life of this agent runs any more.
  bool LeftoversGone = false;
  /// Stops that are under way or wait for a thread; one for each running part.
  Ring<wire::StopRequest> Stops;
  std::vector<std::thread> Stoppers;
  std::thread Supervisor;
  std::thread Leader;
};

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_WORKERGUARD_H
