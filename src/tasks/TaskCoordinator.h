/// \file
/// Decides for all jobs while this process holds the coordinator's role.

#ifndef BAOBABCOVE_TASKS_TASKCOORDINATOR_H
#define BAOBABCOVE_TASKS_TASKCOORDINATOR_H

#include "base/Metrics.h"
#include "store/TransactionalStore.h"
#include "tasks/CoordinatorRole.h"
#include "tasks/JobCatalog.h"
#include "tasks/ProgressWriter.h"
#include "tasks/QueueConfig.h"
#include "tasks/TaskBoard.h"
#include "tasks/WorkerSession.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove {

/// What the coordinator is told at its start.
struct CoordinatorSettings {
  /// For how long after a report a worker may go on without another answer.
  Milliseconds Grant{6500};
  /// How long ended jobs are kept.
  Milliseconds StatusKept{120000};
  /// How many times as long work takes away from its data.
  double RemotePenalty = 3;
};

/// One thread takes in reports, jobs and cancels, decides, records and only
/// then gives orders. A report is answered from its own thread.
class TaskCoordinator : public CatalogListener {
public:
  using ConfigSource = std::function<std::shared_ptr<const QueueConfig>()>;

  TaskCoordinator(TransactionalStore &Kv, CoordinatorSettings Settings,
                  ConfigSource Config, Metrics &Figures);
  ~TaskCoordinator() override;

  /// The role must outlive the coordinator's thread.
  void start(CoordinatorRole &Role);
  void stop();

  /// Answers an agent: at once when there are orders that it has not seen,
  /// otherwise after the wait that it asked for.
  wire::TaskOrders attend(const wire::TaskReport &Report);

  /// The role was taken or lost.
  void onRoleChange();

  void onJob(std::shared_ptr<const wire::TaskJobSpec> Spec) override;
  void onCancel(const JobId &Id) override;
  void onSeatChange() override;

  std::string dump() const;

private:
  /// What has come in since the last round.
  struct Inbox {
    std::vector<std::shared_ptr<const wire::TaskJobSpec>> Jobs;
    std::vector<JobId> Cancels;
  };

  void run();
  void round();
  bool takeOver(const CoordinatorTerm &Term);
  void resign();
  void takeIn();
  void takeReports(BootInstant Now);
  void decide(BootInstant Now);
  bool record(const CoordinatorTerm &Term);
  void publish();

  TransactionalStore &Kv;
  const CoordinatorSettings Settings;
  const ConfigSource Config;
  Metrics &Figures;
  CoordinatorRole *Role = nullptr;
  std::function<void()> SeatChanged;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::condition_variable OrdersChanged;
  bool Stopping = false;
  bool HasWork = false;
  Inbox Incoming;
  std::map<NodeId, WorkerSession> Sessions;
  /// The epoch that orders are given under; zero while there are none.
  Epoch Serving;

  // Used by the coordinator's thread alone.
  Epoch Current;
  TaskBoard Board;
  ProgressWriter Writer;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_TASKCOORDINATOR_H
