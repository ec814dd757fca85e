/// \file
/// Stands beside one worker: hears it, carries the coordinator's orders to it
/// and keeps its lease while the coordinator allows it.

#ifndef BAOBABCOVE_TASKS_TASKAGENT_H
#define BAOBABCOVE_TASKS_TASKAGENT_H

#include "base/Metrics.h"
#include "base/Ring.h"
#include "rpc/Rpc.h"
#include "store/TransactionalStore.h"
#include "tasks/RunLedger.h"
#include "tasks/WorkerLink.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove {

struct AgentSettings {
  NodeId Node;
  DataCentreName DataCentre;
};

/// Makes calls to the life of a worker that has announced itself.
using LinkFactory =
    std::function<std::unique_ptr<WorkerLink>(const WorkerBeat &)>;

/// A thread each asks the coordinator for orders, tells it news, and lists
/// the worker's runs; a few carry out orders.
class TaskAgent {
public:
  TaskAgent(AgentSettings Settings, TransactionalStore &Kv, LinkFactory Links,
            Metrics &Figures);
  ~TaskAgent();

  void start();
  void stop();

  /// Takes in an announcement. One that is older than what is known is
  /// ignored.
  void beat(const WorkerBeat &Beat);

  /// The worker \p Id has said that it ends now.
  void leave(const std::string &Id);

  std::string dump() const;

private:
  /// An order that waits to be carried out.
  struct Job {
    bool Stop = false;
    std::string Task;
    std::uint64_t Run = 0;
  };

  /// What one exchange with the worker needs.
  struct Call {
    std::shared_ptr<WorkerLink> Link;
    std::string Life;
    Epoch Term;
    /// The lease to ask for, on the worker's clock; zero for none.
    Milliseconds Deadline{0};
    std::uint64_t Acknowledged = 0;
  };

  void attendLoop();
  void newsLoop();
  void holdLoop();
  void orderLoop();

  bool exchange(Milliseconds Wait);
  bool findCoordinator();
  wire::TaskReport report(Milliseconds Wait);
  void takeOrders(const wire::TaskOrders &Orders, BootInstant SentAt);
  void queueOrders();
  bool list(Milliseconds Wait);
  void takeRuns(const Call &Of, const WorkerRuns &Runs, BootInstant SentAt,
                BootInstant Now);
  bool knowsClock() const;
  Call prepareCall();
  void carryOut(const Job &Order);
  void carryOutStart(const Job &Order);
  void carryOutStop(const Job &Order);
  /// Whether the worker's newest listing has the run.
  bool isRunning(const RunId &Run) const;
  void forgetWorker();

  /// Orders carried out side by side, so that one without an answer does not
  /// hold up the others.
  static constexpr int OrderThreads = 3;

  const AgentSettings Settings;
  TransactionalStore &Kv;
  const LinkFactory Links;
  Metrics &Figures;
  RpcPeers Peers;
  const std::uint64_t Life;

  mutable std::mutex Mutex;
  std::condition_variable News;
  std::condition_variable Changed;
  bool Stopping = false;
  bool HasNews = false;
  std::string Coordinator;
  std::uint64_t Sequence = 0;

  std::optional<WorkerBeat> Worker;
  std::shared_ptr<WorkerLink> Link;
  /// Identifies the worker's life; empty while there is none.
  std::string WorkerName;
  std::uint64_t WorkersGone = 0;
  bool Listed = false;
  BootInstant ListedAt{};
  std::vector<wire::RunStatus> Running;
  std::vector<wire::RunEnd> Ends;
  /// The worker's clock as it was at the latest at that moment.
  Milliseconds WorkerClock{0};
  BootInstant WorkerClockAt{};
  /// Until when the coordinator allows the worker to go on.
  BootInstant GrantedUntil{};
  /// Until when a lease that was given may last.
  BootInstant LeaseUntil{};

  Epoch Term;
  wire::TaskOrders Orders;
  RunLedger Ledger;
  Ring<Job> Queue;
  std::vector<std::thread> Threads;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_TASKAGENT_H
