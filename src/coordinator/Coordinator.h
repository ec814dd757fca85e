#ifndef BAOBABCOVE_COORDINATOR_COORDINATOR_H
#define BAOBABCOVE_COORDINATOR_COORDINATOR_H

#include "base/BoundedQueue.h"
#include "base/Metrics.h"
#include "config/ActiveConfiguration.h"
#include "coordinator/GangActions.h"
#include "coordinator/GangTracker.h"
#include "coordinator/JobRecordWriter.h"
#include "coordinator/JobStateMachine.h"
#include "coordinator/WorkerLossDetector.h"
#include "membership/MemberTable.h"

#include <Poco/JSON/Object.h>

#include <atomic>
#include <memory>
#include <set>
#include <thread>
#include <variant>
#include <vector>

namespace baobabcove {

/// Schedules the gangs of one cell by the decision library. Runs in every
/// entry, but decides only in the one that holds the coordinator role.
///
/// One thread makes all decisions. It receives events through a bounded queue
/// and passes blocking work to executor threads, each with a bounded queue of
/// its own. Work is assigned to an executor by the hash of its key, so that the
/// orders of one job are carried out in sequence.
class Coordinator {
public:
  Coordinator(const Settings &Opts, const StateChart &JobChart,
              Store &ClusterStore, RpcPeers &Peers, JobStore &JobRecords,
              const MemberTable &Membership,
              ActiveConfiguration &Configurations, Metrics &Stats);
  ~Coordinator();

  /// Handles a change of the coordinator role: its epoch when it was acquired,
  /// zero when it was lost.
  void roleChanged(Epoch Held);
  /// Handles the heartbeat of a member.
  void heartbeatReceived(const wire::Heartbeat &Heartbeat);
  /// Handles a change of a job record.
  void jobChanged(const StoredJob &Job);
  /// Handles a new configuration, which is already in force.
  void configurationChanged();

  /// Returns the coordinator's part of the state dump.
  Poco::JSON::Object::Ptr dump() const;

private:
  struct RoleEvent {
    Epoch HeldEpoch;
  };
  struct HeartbeatEvent {
    wire::Heartbeat Heartbeat;
  };
  struct JobEvent {
    StoredJob Job;
  };
  struct ConfigurationEvent {};
  struct ListingEvent {
    Epoch ForEpoch;
    std::vector<StoredJob> Jobs;
    std::set<std::string> Entries;
  };
  struct InventoryEvent {
    Epoch ForEpoch;
    wire::Heartbeat Heartbeat;
    bool Accepted = false;
  };
  struct StartFinishedEvent {
    StartOrder Order;
    StartOutcome Outcome;
  };
  struct EndRecordedEvent {
    JobId Job;
    Attempt Number;
  };
  using Event = std::variant<RoleEvent, HeartbeatEvent, JobEvent,
                             ConfigurationEvent, ListingEvent, InventoryEvent,
                             StartFinishedEvent, EndRecordedEvent>;
  using WorkItem = std::function<void()>;

  /// What this process knows of a worker while it holds the role.
  struct WorkerState {
    std::uint64_t Incarnation = 0;
    /// Whether the agent has returned its inventory and accepted the epoch.
    bool Ready = false;
    bool InventoryPending = false;
    /// Whether the scheduler knows the worker.
    bool Schedulable = false;
    Instant LastHeartbeatAt;
    std::string Address;
  };

  enum class Stage { Idle, Listing, Settling, Deciding };

  void decideLoop();
  void executeLoop(std::size_t Index);
  void postEvent(Event Received);
  void enqueueWork(const std::string &Key, WorkItem Work);

  void handle(const RoleEvent &Received);
  void handle(const HeartbeatEvent &Received);
  void handle(const JobEvent &Received);
  void handle(const ConfigurationEvent &Received);
  void handle(const ListingEvent &Received);
  void handle(const InventoryEvent &Received);
  void handle(const StartFinishedEvent &Received);
  void handle(const EndRecordedEvent &Received);

  void listJobsAndEntries();
  void requestInventory(const wire::Heartbeat &Heartbeat);
  void tryFinishSettling(Instant Now);
  void adoptJob(const StoredJob &Job);
  void applyGuarantees();
  void handleWorkerReport(const wire::Heartbeat &Heartbeat);
  void updateScheduler(const wire::Heartbeat &Heartbeat);
  void handleTransition(TrackedGang &Gang, GangTransition Transition);
  void gangRunning(TrackedGang &Gang);
  void gangEnded(TrackedGang &Gang);
  void recordEnd(const TrackedGang &Gang);
  void stopStrayParts(const wire::Heartbeat &Heartbeat);
  void decide(Instant Now);
  void carryOut(const StartGang &Start);
  void carryOut(const StopGang &Stop);
  void carryOut(const EndJob &End);
  void sendStop(TrackedGang &Gang, bool Checkpoint, Milliseconds Deadline);
  void detectLosses(Instant Now);
  void releaseBrokenGangs(Instant Now);
  void resync();
  void removeOldJobs(Instant Now);
  void publishDump();
  StopOrder stopOrderOf(const TrackedGang &Gang) const;

  const Settings &Opts;
  const JobStateMachine JobStates;
  Store &ClusterStore;
  JobStore &JobRecords;
  const MemberTable &Membership;
  ActiveConfiguration &Configurations;
  Metrics &Stats;
  BoundedQueue<Event> Events;
  std::atomic<bool> EventsDropped{false};
  std::vector<std::unique_ptr<BoundedQueue<WorkItem>>> WorkQueues;
  JobRecordWriter RecordWriter;
  GangActions Actions;

  // Used by the decision thread only.
  Stage CurrentStage = Stage::Idle;
  Epoch HeldEpoch;
  std::unique_ptr<Scheduler> JobScheduler;
  GangTracker Gangs;
  WorkerLossDetector LossDetector;
  std::map<std::string, WorkerState> Workers;
  std::vector<StoredJob> JobsToAdopt;
  std::set<std::string> ScheduledJobs;
  Instant StageStartedAt;
  Instant LastDecisionAt;
  Instant LastCleanupAt;

  mutable std::mutex DumpMutex;
  Poco::JSON::Object::Ptr PublishedDump;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> ExecutorThreads;
  std::thread DecisionThread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_COORDINATOR_H
