#ifndef BAOBABCOVE_TASKS_COORDINATION_TASKCOORDINATOR_H
#define BAOBABCOVE_TASKS_COORDINATION_TASKCOORDINATOR_H

#include "base/Metrics.h"
#include "store/TransactionalStore.h"
#include "tasks/OperatorSnapshot.h"
#include "tasks/coordination/CoordinatorRole.h"
#include "tasks/coordination/JobTracker.h"
#include "tasks/coordination/ProgressWriter.h"
#include "tasks/coordination/TombstoneSweeper.h"
#include "tasks/coordination/WorkerSession.h"
#include "tasks/intake/JobCatalog.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove {

struct CoordinatorSettings {
  /// How long a worker may continue its runs after a report without a further
  /// answer.
  Milliseconds Grant{6500};
  /// How long ended jobs are kept.
  Milliseconds StatusRetention{120000};
  RunTimeSettings RunTimes;
  /// Share of a core that this process may use.
  double CpuShare = 1;
  /// Time after the acknowledgement of an evacuation from which nothing starts
  /// in the data centre; zero for no bound.
  Milliseconds EvacuationBound{0};
  /// Limits for starts on cold workers.
  ColdLimits Cold{};
};

/// Returns how long the coordinator of \p Workers workers pauses after a round.
std::chrono::microseconds pauseAfterRound(std::size_t Workers);

/// Returns how long the coordinator holds the poll of each of \p Agents agents
/// if it may use \p CpuShare of a core. News and orders do not wait for polls.
Milliseconds pollInterval(std::size_t Agents, double CpuShare);

/// Schedules all jobs while this process holds the coordinator role. One thread
/// processes reports, jobs and cancellations, plans, stores the result and only
/// then publishes orders. Reports are answered from the threads of their
/// callers.
class TaskCoordinator : public CatalogListener {
public:
  using ConfigSource = std::function<OperatorSnapshot()>;

  TaskCoordinator(TransactionalStore &Kv, CoordinatorSettings Settings,
                  ConfigSource Config, Metrics &Stats);
  ~TaskCoordinator() override;

  /// \p Role must outlive the coordinator's thread.
  void start(CoordinatorRole &Role);
  void stop();

  /// Answers a report: immediately if there are orders that the agent has not
  /// seen, otherwise after the wait that it requested.
  wire::TaskOrders attend(const wire::TaskReport &Report);

  /// Processes the acquisition or the loss of the role.
  void onRoleChange();

  void onJob(std::shared_ptr<const wire::TaskJobSpec> Spec) override;
  void onCancel(const JobId &Id) override;
  void onRoleKeyChange() override;

  std::string dump() const;

private:
  struct ReceivedCancel {
    JobId Job;
    BootInstant At;
  };

  /// Input received since the last round.
  struct Inbox {
    std::vector<std::shared_ptr<const wire::TaskJobSpec>> Jobs;
    std::vector<ReceivedCancel> Cancels;
  };

  /// How long the parts of a round took.
  struct RoundTimes {
    Milliseconds Reports{0};
    Milliseconds Plan{0};
    Milliseconds Write{0};
    Milliseconds Publish{0};
    Milliseconds total() const { return Reports + Plan + Write + Publish; }
  };

  /// Whether the session's orders are for the worker of \p Report and its
  /// capacity has not shrunk since.
  static bool areOrdersFor(const WorkerSession &Session,
                           const wire::TaskReport &Report);
  /// Adds the runs to \p Reply that the agent has to bar.
  static void addBars(WorkerSession &Session, BootInstant Now,
                      wire::TaskOrders &Reply);
  /// Returns how long after the last grant all leases have expired.
  Milliseconds leaseExpiry() const;
  /// Applies the report of expired leases of a session. The mutex must be
  /// locked, so that the agent's next grant comes with the bars that follow
  /// from it; so for the next two.
  void applyExpiry(WorkerSession &Session, const ClockReading &Now);
  /// Ends the runs of a node whose agent has not called for so long that all
  /// leases have expired.
  void expireLeases(const NodeId &Node, WorkerSession &Session,
                    const ClockReading &Now);
  /// Lets the agent of a session bar the runs \p GivenUp.
  static void noteGivenUp(WorkerSession &Session,
                          const std::vector<RunName> &GivenUp, BootInstant Now);
  /// Records that \p Report, with the bars that follow from it, has been
  /// applied.
  static void noteApplied(WorkerSession &Session,
                          const wire::TaskReport &Report);
  /// Returns the lowest order revision of a term, which is above those of all
  /// earlier terms.
  static std::uint64_t firstRevision(Epoch Term);
  /// Sets for how long the agent of \p Report may send starts, counted from
  /// \p CalledAt.
  void limitStarts(const wire::TaskReport &Report, BootInstant CalledAt,
                   wire::TaskOrders &Reply) const;
  /// Forgets the agents and reports of any other term: what another coordinator
  /// has decided since is not in them. The mutex must be locked.
  void beginSessions(Epoch Term);
  void run();
  void round();
  bool takeOver(const CoordinatorTerm &Term);
  void stepDown();
  void drainInbox();
  void applyReports(BootInstant Now);
  void decide(BootInstant Now);
  bool persist(const CoordinatorTerm &Term);
  void publish();
  void updateServices(const std::shared_ptr<const QueueConfig> &Newest);
  void recordRound(const RoundTimes &Times, BootInstant Now);
  void recordPublishedCancels();
  void reportRunTimes(BootInstant Now);
  /// Shows the evacuations and their runs among the metrics and in the dump.
  void recordEvacuations(const Evacuations &Known);
  /// Ends the waits of all agents. The mutex must be locked.
  void notifyAllSessions();

  TransactionalStore &Kv;
  const CoordinatorSettings Settings;
  const ConfigSource Config;
  Metrics &Stats;
  CoordinatorRole *Role = nullptr;
  std::function<void()> RoleKeyChanged;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  bool HasWork = false;
  Inbox Incoming;
  std::map<NodeId, WorkerSession> Sessions;
  /// The term in which the sessions began.
  Epoch SessionsTerm;
  std::uint64_t LastAgentSession = 0;
  /// The services of the newest configuration and of all jobs. An agent takes
  /// no worker of any other.
  wire::ServiceNames Services;
  /// Number of runs in evacuated data centres at the last round.
  std::size_t RunsInEvacuated = 0;
  /// The epoch under which orders are given; zero while none are.
  Epoch Serving;
  /// What the run time model had learned at the last report.
  Poco::JSON::Object::Ptr RunTimesDump;

  // Used by the coordinator's thread only.
  Epoch Current;
  /// When the jobs of the current term had been read.
  BootInstant TermBegan{};
  JobTracker Tracker;
  /// The configuration and the number of services of jobs for which Services
  /// was made.
  std::shared_ptr<const QueueConfig> NamedConfig;
  std::size_t NamedJobServices = 0;
  ProgressWriter Writer;
  TombstoneSweeper Tombstones;
  /// Cancellations whose stops have not been published.
  std::vector<ReceivedCancel> UnpublishedCancels;
  BootInstant SlowRoundLoggedAt;
  BootInstant RunTimesReportedAt;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_TASKCOORDINATOR_H
