#ifndef BAOBABCOVE_TASKS_AGENT_TASKAGENT_H
#define BAOBABCOVE_TASKS_AGENT_TASKAGENT_H

#include "base/BoundedQueue.h"
#include "base/Metrics.h"
#include "rpc/Rpc.h"
#include "store/TransactionalStore.h"
#include "tasks/WorkerIncarnation.h"
#include "tasks/agent/LateStarts.h"
#include "tasks/agent/ReportParts.h"
#include "tasks/agent/RunOrderTracker.h"
#include "tasks/agent/StartLimit.h"
#include "tasks/agent/WorkerCandidates.h"
#include "tasks/agent/WorkerLease.h"
#include "tasks/agent/WorkerLink.h"
#include "tasks/agent/WorkerLiveness.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove {

struct AgentSettings {
  NodeId Node;
  DataCentreName DataCentre;
  /// IPv4 address of this machine, on which its worker listens.
  std::string Host;
};

/// Creates a link to the worker incarnation that sent the heartbeat.
using LinkFactory =
    std::function<std::unique_ptr<WorkerLink>(const WorkerHeartbeat &)>;

/// Runs beside one worker: reports its state to the coordinator, carries out
/// the coordinator's orders, and extends the lease of its runs while the
/// coordinator grants it. Separate threads poll the coordinator for orders,
/// send it changes, list the worker's runs, and call the workers that may
/// replace it; a few threads carry out orders.
class TaskAgent {
public:
  TaskAgent(AgentSettings Settings, TransactionalStore &Kv, LinkFactory Links,
            Metrics &Stats);
  ~TaskAgent();

  void start();
  void stop();

  /// Processes a heartbeat. One of the agent's worker updates it unless it is
  /// older than the last. Any other announces a candidate, which becomes the
  /// agent's worker once it has answered for itself and the end of the one
  /// before it is proved.
  void onHeartbeat(const WorkerHeartbeat &Heartbeat);

  /// Processes the announcement of the worker \p Id that it is terminating. It
  /// may be late, and the worker is one that has started again under that id,
  /// so that only its calls show when it has ended.
  void onWorkerLeft(const std::string &Id);

  std::string dump() const;

private:
  /// An order that is waiting to be carried out.
  struct QueuedOrder {
    bool Stop = false;
    std::string Task;
    std::uint64_t Run = 0;
  };

  /// The parameters of one call to the worker.
  struct WorkerCall {
    std::shared_ptr<WorkerLink> Link;
    WorkerIncarnation Incarnation;
    Epoch Term;
    /// The lease to request, on the worker's clock; zero for none.
    Milliseconds Deadline{0};
    std::uint64_t Acknowledged = 0;
  };

  void attendLoop();
  void reportLoop();
  void listLoop();
  void candidateLoop();
  void orderLoop();

  bool exchange(Milliseconds Wait);
  bool findCoordinator();
  wire::TaskReport report(Milliseconds Wait);
  void applyOrders(const wire::TaskOrders &Orders, BootInstant SentAt);
  void queueOrders();
  /// Withdraws the starts received so far, whose runs the coordinator may give
  /// up.
  void voidStarts(const std::string &Why);
  /// Adds the running runs to \p Report, or a part of them if they are too many
  /// for one report.
  void addRunning(wire::TaskReport &Report);
  bool listRuns(Milliseconds Wait);
  void noteListingFailure(const WorkerCall &Request, const Error &Failure);
  /// Whether \p Heartbeat is of the current worker incarnation.
  bool isOfWorker(const WorkerHeartbeat &Heartbeat) const;
  /// Applies a heartbeat of the current worker incarnation.
  void updateWorker(const WorkerHeartbeat &Heartbeat);
  /// Calls a candidate, and adopts it if it has answered for itself and no
  /// other worker is there.
  void callCandidate(WorkerCandidate Candidate);
  /// Makes a candidate the agent's worker.
  void adopt(const WorkerCandidate &Candidate);
  /// Replaces the worker by the incarnation under the same id that has answered
  /// in its place. Some starts may have reached this one already, so that their
  /// runs are barred on it before they are started elsewhere.
  void adoptRestarted(std::int64_t StartedAtMs);
  /// Reports the worker, whose end is proved, as gone.
  void departWorker(const std::string &Proof);
  /// Whether a worker incarnation is known whose end is not proved.
  bool hasWorker() const;
  /// Records how the current worker incarnation has ended.
  void noteEnd();
  /// Whether the worker has ended just now and may start again under its id. It
  /// is too early then to report that an unanswered start never begins a run.
  bool awaitsSameId(BootInstant Now) const;
  void applyListing(const WorkerCall &Request, const WorkerRuns &Listing,
                    BootInstant RequestedAt, BootInstant Now);
  bool hasWorkerClock() const;
  WorkerCall prepareCall();
  void dispatch(const QueuedOrder &Order);
  void sendStart(const QueuedOrder &Order);
  void sendStop(const QueuedOrder &Order);
  /// Whether the worker's last listing contains the run.
  bool isRunning(const RunId &Run) const;
  /// Whether it contains the end of the run.
  bool hasListedEnd(const RunId &Run) const;
  /// Queues the starts that were held back, if they may be sent now.
  void queueHeldStarts();
  /// Returns the deadline of a start on the worker's clock: the end of the
  /// lease or of the period in which starts may be sent. The worker refuses a
  /// start that reaches it later.
  Milliseconds startDeadline(Milliseconds LeaseDeadline) const;
  void resetWorkerState();

  /// Number of orders carried out concurrently, so that an unanswered call does
  /// not block the others.
  static constexpr int OrderThreads = 3;

  const AgentSettings Settings;
  TransactionalStore &Kv;
  const LinkFactory Links;
  Metrics &Stats;
  RpcPeers Peers;
  /// The start time of this agent, by which older coordinators identify it.
  const std::uint64_t StartedAtMs;
  /// Identifies this agent incarnation; unique whatever the clocks say.
  const std::uint64_t Incarnation;

  mutable std::mutex Mutex;
  std::condition_variable ReportNeeded;
  std::condition_variable StateChanged;
  bool Stopping = false;
  bool ReportPending = false;
  std::string Coordinator;
  /// How long the coordinator may hold the next poll.
  Milliseconds PollWait;
  std::uint64_t Sequence = 0;
  /// The number by which the coordinator confirms this agent incarnation.
  std::uint64_t Session = 0;
  /// The next of the runs when a report has room for a part of them only.
  std::size_t NextRunning = 0;

  /// The last heartbeat of the worker, or of the one that has ended.
  std::optional<WorkerHeartbeat> Worker;
  /// Whether the worker's termination was announced after its last heartbeat.
  bool IsEndAnnounced = false;
  WorkerCandidates Candidates;
  /// End of the worker's cold period.
  BootInstant ColdUntil{};
  std::shared_ptr<WorkerLink> Link;
  /// The worker incarnation; empty before the first one has answered.
  WorkerIncarnation WorkerName;
  /// The latest incarnation that drained or announced its end before it ended.
  WorkerIncarnation LeftWorker;
  /// Whether the current incarnation started after this agent, so that no
  /// earlier agent can have sent starts to it.
  bool IsSoleAgent = false;
  /// The latest incarnation that ended, with the runs that it had or may have
  /// begun, and whether it can have had no others.
  WorkerIncarnation LostWorker;
  LostRunMap LostRuns;
  bool AreLostRunsComplete = false;
  /// Runs whose starts were sent to the current incarnation and not refused,
  /// and whose ends it has not listed.
  std::set<RunId> StartsSent;
  LateStarts Late;
  std::uint64_t DepartedWorkers = 0;
  BootInstant DepartedAt{};
  bool Listed = false;
  BootInstant ListedAt{};
  /// Judged by the listings of the current worker.
  WorkerLiveness Liveness;
  std::vector<wire::RunStatus> Running;
  std::vector<wire::RunEnd> Ends;
  /// The worker's clock in its last listing, which it read no later than at
  /// WorkerClockAt.
  Milliseconds WorkerClock{0};
  BootInstant WorkerClockAt{};
  WorkerLease Lease;

  Epoch Term;
  wire::TaskOrders Orders;
  RunOrderTracker RunOrders;
  StartLimit Limit;
  BoundedQueue<QueuedOrder> Queue;
  std::vector<std::thread> Threads;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_TASKAGENT_H
