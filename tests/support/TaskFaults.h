#ifndef BAOBABCOVE_TESTS_SUPPORT_TASKFAULTS_H
#define BAOBABCOVE_TESTS_SUPPORT_TASKFAULTS_H

#include "Dice.h"
#include "TaskDeployment.h"
#include "WorkerMessages.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace baobabcove::testing {

/// One series of faults of a deployment, each of which it heals before the
/// next. Several of them overlap.
class TaskFaults {
public:
  enum class Kind {
    /// Processes, the store and the workers.
    Any,
    /// Workers and calls to them.
    Workers,
    /// Members of one run of a gang that fail together, whose ends are heard
    /// late, some of them after a takeover or a restart of an agent.
    Gangs,
    /// Workers that start again under their ids while their sockets stay open,
    /// and whose first answers are lost.
    Restarts,
    /// Messages about workers, signals that reload, and configurations: short
    /// ones, of which many fit beside the others.
    Messages,
    /// Workers that refuse starts, at times all of them.
    Refusals,
    /// Keys that are withdrawn.
    Keys,
  };

  /// \p ProcessMutex is that of all series, so that two of them never replace
  /// one process.
  TaskFaults(TaskDeployment &System, Kind Faults, unsigned Seed,
             std::mutex &ProcessMutex);
  ~TaskFaults();

  /// Ends the series and waits until its last fault is healed. The thread stays
  /// until the destructor, since the processes that it started end with it.
  void finish();

private:
  using Step = void (TaskFaults::*)();

  static const std::vector<Step> &stepsOf(Kind Faults);
  void run(Kind Faults);
  void sleep(int Ms);

  TaskDaemon &anyEntry();
  TaskDaemon &anyAgent();
  std::size_t anyWorker() { return Random.below(System.Fleet->size()); }
  std::vector<std::size_t> workers(int OneIn);

  // Processes.
  void restart(TaskDaemon &Daemon, void (TaskDaemon::*End)(), int Pause);
  void pause(const TaskDaemon &Daemon, int Ms);
  void reload(const TaskDaemon &Daemon);
  void restart(TaskDaemon &Daemon, void (TaskDaemon::*End)()) {
    restart(Daemon, End, Random.upTo(2500));
  }
  void killEntry() { restart(anyEntry(), &TaskDaemon::kill); }
  void stopEntry() { restart(anyEntry(), &TaskDaemon::stop); }
  void killAgent() { restart(anyAgent(), &TaskDaemon::kill); }
  void stopAgent() { restart(anyAgent(), &TaskDaemon::stop); }
  void pauseEntry() { pause(anyEntry(), 300 + Random.upTo(4500)); }
  void pauseAgent() { pause(anyAgent(), 300 + Random.upTo(6000)); }
  void reloadEntry() { reload(anyEntry()); }
  void reloadAgent() { reload(anyAgent()); }
  void changeConfig();
  void withdrawKey();

  // The store.
  KvServer::Fault anyStoreFault();
  /// Sets a fault at the store's addresses of a share of the processes.
  void faultAtStore(KvServer::Fault Fault, int OneIn, int Ms);
  void cutEntry();
  void loseStore();
  void delayWrites();

  // Workers.
  void setModes(const std::vector<std::size_t> &Chosen, WorkerFleet::Mode Mode,
                int Ms);
  void refuseStarts();
  void refuseAllStarts();
  void failWorkers();
  void stallWorkers();
  void crashWorkers();
  void restartWorkers();
  void leaveWorkers();
  void drainWorkers();
  void delayCalls();
  /// Delayed orders reach workers that have started again under their id.
  void restartLateWorkers();

  // Workers whose sockets stay open.
  /// Restarts those that run nothing. A restart under a run counts as a crash
  /// that the run may have caused, of which the other series make enough.
  void restartInPlace(const std::vector<std::size_t> &Chosen);
  void restartWorkersInPlace();
  void restartTwiceInPlace();
  void restartInPlaceBesideLateCalls();
  void restartInPlaceAndLoseStore();
  void restartInPlaceAndPauseAgent();

  // Gangs.
  struct Gang {
    std::string Job;
    std::vector<std::size_t> Workers;
  };
  enum class Spread { Any, OneWorker, SeveralWorkers };
  /// Waits a while for a gang that runs with all its members. Without one, it
  /// has no workers.
  Gang anyGang(Spread Over);
  /// Returns at least one of the workers of a gang.
  std::vector<std::size_t> someOf(const Gang &Of);
  void fail(const Gang &Failing, const std::string &Meanwhile);
  void failGangOnOneWorker();
  void failGangOnWorkers();
  /// Fails one run of a gang after another, so that few attempts are used up.
  void failGangAgain();
  void failGangThenCrashWorker();
  using GangStep = void (TaskFaults::*)(const std::vector<std::size_t> &Held);
  /// Fails a gang, and leaves listings of some of its workers unanswered during
  /// \p Meanwhile.
  void failHeldGang(const std::string &Name, GangStep Meanwhile);
  void wait(const std::vector<std::size_t> &Held);
  void killCoordinator(const std::vector<std::size_t> &Held);
  void pauseCoordinator(const std::vector<std::size_t> &Held);
  void killAgents(const std::vector<std::size_t> &Held);
  void failUnheardGang();
  void failGangAcrossTakeover();
  void failGangAcrossPause();
  void failGangAcrossAgentRestarts();
  void failGangOfPausedAgents();

  // Messages about workers.
  using Message = void (WorkerMessages::*)(std::size_t Worker);
  void sendMessages(Message Sent);
  void sendForeignHeartbeats();
  void repeatHeartbeats();
  void repeatDeregistrations();

  TaskDeployment &System;
  Dice Random;
  WorkerMessages Messages;
  std::mutex &Processes;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Healed{false};
  std::atomic<bool> Ended{false};
  std::thread Thread;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_TASKFAULTS_H
