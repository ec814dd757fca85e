// Randomized model of runs under faults: coordinators take over from each
// other, agents restart, and workers lose answers, carry out orders late and
// crash, some under each start of a deadly task. In every order of events no
// task may run twice at once, nor start again after its end was acknowledged. A
// deadly task must not start three times more after three workers have crashed
// under it; any other job may fail only if two have crashed under one of its
// tasks, or if max_attempts different runs of a task or of a gang have ended
// failed, after which no run of it may start. Leases, the store and the network
// are in TaskModelLeaseTest.cpp.

#include "tasks/agent/RunOrderTracker.h"
#include "tasks/coordination/JobTracker.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

/// A worker that gives only the guarantees of the platform.
struct ModelWorker {
  std::string Node;
  int IncarnationNumber = 1;
  std::uint64_t Fence = 0;
  std::map<std::string, std::uint64_t> Running;
  /// Highest run of each task that was stopped or has ended here.
  std::map<std::string, std::uint64_t> Barred;
  std::vector<wire::RunEnd> Ends;
  std::uint64_t LastEnd = 0;
  /// The last incarnation that announced its end.
  std::string Left;
  /// The deadly task that is about to crash this incarnation; empty for none.
  std::string CrashingUnder;
  /// Orders that are carried out later, after orders sent in the meantime.
  std::deque<std::pair<bool, RunId>> Delayed;

  std::string incarnation() const {
    return Node + "/w#" + std::to_string(IncarnationNumber);
  }

  bool start(const RunId &Run) {
    const auto Held = Running.find(Run.first);
    if (Held != Running.end())
      return Held->second == Run.second;
    if (Barred[Run.first] >= Run.second)
      return false;
    Running[Run.first] = Run.second;
    return true;
  }

  void end(const std::string &Task, wire::RunEnding How) {
    wire::RunEnd End;
    End.set_number(++LastEnd);
    End.set_task(Task);
    End.set_run(Running.at(Task));
    End.set_ending(How);
    Barred[Task] = std::max(Barred[Task], Running.at(Task));
    Running.erase(Task);
    Ends.push_back(End);
  }

  void stop(const RunId &Run) {
    const auto Held = Running.find(Run.first);
    if (Held != Running.end() && Held->second == Run.second)
      end(Run.first, wire::RUN_STOPPED);
    Barred[Run.first] = std::max(Barred[Run.first], Run.second);
  }

  void crash() {
    ++IncarnationNumber;
    Running.clear();
    Barred.clear();
    Ends.clear();
    LastEnd = 0;
    CrashingUnder.clear();
    // Orders name their worker incarnation; the next one refuses them.
    Delayed.clear();
  }

  void leave() {
    Left = incarnation();
    crash();
  }
};

struct ModelAgent {
  std::uint64_t Incarnation = 1;
  RunOrderTracker RunOrders;
  wire::TaskOrders Orders;
  std::string WorkerIncarnation;
  /// The last incarnation that announced its end to this agent.
  std::string LeftWorker;
  /// The last incarnation that ended after it was listed, and its runs.
  std::string LostWorker;
  std::set<RunId> LostRuns;
  bool AreLostRunsComplete = false;
  /// Whether the worker incarnation started after the agent.
  bool IsSoleAgent = false;
  /// Runs that the worker listed last, and those that were sent to it.
  std::set<RunId> ListedRuns;
  std::set<RunId> SentRuns;
  std::deque<std::pair<bool, RunId>> ToSend;
};

/// What the jobs of a model are like.
struct ModelJobs {
  std::uint32_t MaxAttempts = 100;
  /// Whether the tasks of every second job are a gang.
  bool HaveGangs = false;
};

class Model {
public:
  explicit Model(unsigned Seed, std::set<std::string> Deadly = {},
                 ModelJobs Kind = {})
      : Random(Seed), Deadly(std::move(Deadly)), Kind(Kind) {
    for (int N = 0; N < 3; ++N) {
      Workers.emplace_back();
      Workers.back().Node = "n" + std::to_string(N);
      Agents.emplace_back();
    }
    for (int J = 0; J < 4; ++J) {
      auto Spec = std::make_shared<wire::TaskJobSpec>();
      Spec->set_id("job" + std::to_string(J));
      Spec->set_queue("q");
      Spec->set_service("s");
      Spec->set_max_attempts(Kind.MaxAttempts);
      wire::StepSpec &Step = *Spec->add_steps();
      Step.set_count(3);
      const bool IsGang = Kind.HaveGangs && J % 2 == 1;
      Step.set_gang(IsGang);
      // Some members of a gang share a worker, others don't.
      Step.set_accelerators(IsGang ? 4 : 1);
      Specs.push_back(Spec);
    }
    takeOver();
  }

  /// Returns a description of the violation, or an empty string.
  std::string run(int Steps) {
    for (int I = 0; I < Steps && Violation.empty(); ++I)
      step();
    return Violation;
  }

  bool allDone() {
    for (int I = 0; I < 4000 && Violation.empty(); ++I) {
      FaultsDisabled = true;
      step();
      bool Done = true;
      for (const auto &[Id, Job] : Tracker.jobs())
        Done = Done && ((Job.Failed && mayFail(Id)) || Job.areAllDone());
      if (Done)
        return true;
    }
    return false;
  }

private:
  bool chance(int Percent) {
    return std::uniform_int_distribution<int>(0, 99)(Random) < Percent;
  }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }

  void step() {
    Now.Boot += Milliseconds(50);
    Now.UnixMs += 50;
    crashUnderDeadlyTasks();
    const std::size_t N = pick(Workers.size());
    switch (pick(6)) {
    case 0:
      decide();
      break;
    case 1:
      exchange(N);
      break;
    case 2:
      sendOrder(N);
      break;
    case 3:
      endRandomRun(N);
      break;
    case 4:
      deliverDelayed(N);
      break;
    default:
      if (!FaultsDisabled)
        injectFault(N);
      break;
    }
    checkInvariants();
  }

  void injectFault(std::size_t N) {
    if (chance(6))
      takeOver();
    else if (chance(8))
      restartAgent(N);
    else if (chance(3))
      crash(Workers[N]);
    else if (!Deadly.empty() && chance(3))
      leave(N);
  }

  void leave(std::size_t N) {
    Workers[N].leave();
    Agents[N].LeftWorker = Workers[N].Left;
  }

  bool hasDeadlyTask(const JobId &Id) const {
    return std::any_of(Deadly.begin(), Deadly.end(), [&](const auto &Task) {
      return Task.rfind(Id.str() + ".", 0) == 0;
    });
  }

  /// Whether two workers have crashed under one task of the job.
  bool hasCrashedTwoWorkers(const JobId &Id) const {
    return std::any_of(
        CrashesUnder.begin(), CrashesUnder.end(), [&](const auto &Known) {
          return Known.second >= 2 && Known.first.rfind(Id.str() + ".", 0) == 0;
        });
  }

  bool mayFail(const JobId &Id) const {
    return hasDeadlyTask(Id) || hasCrashedTwoWorkers(Id) ||
           hasNoAttemptsLeft(Id);
  }

  /// Whether max_attempts runs of a unit of the job have ended failed.
  bool hasNoAttemptsLeft(const JobId &Id) const {
    return std::any_of(FailedRunsOf.begin(), FailedRunsOf.end(),
                       [&](const auto &Known) {
                         return Known.second.size() >= Kind.MaxAttempts &&
                                Known.first.rfind(Id.str() + ".", 0) == 0;
                       });
  }

  /// Returns the first task of the gang of a task, or the task itself.
  std::string unitOf(const std::string &Task) const {
    return sizeOfUnit(Task) == 1 ? Task : stepKey(*parseTaskName(Task)) + ".0";
  }

  void crashUnderDeadlyTasks() {
    for (ModelWorker &Worker : Workers)
      if (!Worker.CrashingUnder.empty())
        crash(Worker);
  }

  void crash(ModelWorker &Worker) {
    for (const auto &[Task, Run] : Worker.Running)
      ++CrashesUnder[Task];
    Worker.crash();
  }

  /// Models a new coordinator, which knows only what the last one stored.
  void takeOver() {
    Tracker.clear();
    for (const auto &Spec : Specs)
      Tracker.addJob(Spec);
    for (const auto &[Id, Progress] : Stored)
      Tracker.restore(Id, Progress, 1);
    Published.clear();
  }

  void restartAgent(std::size_t N) {
    const std::uint64_t Incarnation = Agents[N].Incarnation + 1;
    // Orders in flight may still be carried out.
    for (const auto &Order : Agents[N].ToSend)
      if (chance(50))
        Workers[N].Delayed.push_back(Order);
    Agents[N] = ModelAgent();
    Agents[N].Incarnation = Incarnation;
  }

  wire::TaskReport report(std::size_t N) {
    ModelWorker &Worker = Workers[N];
    ModelAgent &Agent = Agents[N];
    if (Agent.WorkerIncarnation != Worker.incarnation()) {
      if (!Agent.WorkerIncarnation.empty()) {
        Agent.LostWorker = Agent.WorkerIncarnation;
        Agent.AreLostRunsComplete = Agent.IsSoleAgent;
        Agent.IsSoleAgent = true;
        Agent.LostRuns = std::move(Agent.ListedRuns);
        Agent.LostRuns.insert(Agent.SentRuns.begin(), Agent.SentRuns.end());
        Agent.SentRuns.clear();
      }
      Agent.RunOrders.clear();
      Agent.Orders.Clear();
      Agent.ToSend.clear();
      Agent.WorkerIncarnation = Worker.incarnation();
    }
    std::set<RunId> Known;
    wire::TaskReport Report;
    Report.set_node(Worker.Node);
    Report.set_worker(Worker.incarnation());
    Report.set_service("s");
    Report.set_accelerators(8);
    Report.set_complete(true);
    Report.set_agent_life(Agent.Incarnation);
    Report.set_left_worker(Agent.LeftWorker);
    Report.set_lost_worker(Agent.LostWorker);
    Report.set_lost_runs_complete(Agent.AreLostRunsComplete);
    for (const auto &[Task, Run] : Agent.LostRuns) {
      wire::RunKey &Key = *Report.add_lost_runs();
      Key.set_task(Task);
      Key.set_run(Run);
    }
    for (const auto &[Task, Run] : Worker.Running) {
      wire::RunStatus &Status = *Report.add_running();
      Status.set_task(Task);
      Status.set_run(Run);
      Known.insert({Task, Run});
    }
    for (const wire::RunEnd &End : Worker.Ends) {
      *Report.add_ends() = End;
      Known.insert({End.task(), End.run()});
    }
    Agent.ListedRuns = {Worker.Running.begin(), Worker.Running.end()};
    for (const wire::RunEnd &End : Worker.Ends)
      Agent.SentRuns.erase({End.task(), End.run()});
    Agent.RunOrders.applyListing(Known, Now.Boot);
    for (const wire::RunRefusal &Refusal : Agent.RunOrders.refusals())
      *Report.add_refusals() = Refusal;
    return Report;
  }

  void decide() {
    std::vector<wire::TaskReport> Reports;
    for (std::size_t N = 0; N < Workers.size(); ++N)
      Reports.push_back(report(N));
    Tracker.plan(Reports, QueueConfig(), Now);
    Tracker.finishJobs(Now);
    // The coordinator may crash between its decision and storing it.
    if (!FaultsDisabled && chance(5)) {
      takeOver();
      return;
    }
    for (const JobId &Id : Tracker.dirty())
      Stored[Id] = Tracker.jobs().at(Id).progress();
    Tracker.dirty().clear();
    for (const wire::TaskReport &Report : Reports)
      Published[Report.node()] = Tracker.ordersFor(Report);
  }

  void exchange(std::size_t N) {
    const wire::TaskReport Report = report(N);
    Tracker.applyReport(Report, Now);
    decide();
    const auto Orders = Published.find(Report.node());
    if (Orders == Published.end() ||
        Orders->second.worker() != Workers[N].incarnation())
      return;
    ModelAgent &Agent = Agents[N];
    Agent.Orders = Orders->second;
    for (const auto &[Run, Stop] :
         Agent.RunOrders.update(Agent.Orders, Now.Boot))
      Agent.ToSend.emplace_back(Stop, Run);
    acknowledge(N, Agent.Orders.acknowledged_end());
  }

  void acknowledge(std::size_t N, std::uint64_t Through) {
    auto &Ends = Workers[N].Ends;
    while (!Ends.empty() && Ends.front().number() <= Through) {
      const std::string Unit = unitOf(Ends.front().task());
      // One end of a gang represents all.
      if (Ends.front().ending() == wire::RUN_DONE)
        Done.insert(Unit);
      if (Ends.front().ending() == wire::RUN_FAILED)
        AcknowledgedFailures[Unit].insert(Ends.front().run());
      Ends.erase(Ends.begin());
    }
  }

  void sendOrder(std::size_t N) {
    ModelAgent &Agent = Agents[N];
    ModelWorker &Worker = Workers[N];
    if (Agent.WorkerIncarnation != Worker.incarnation())
      return;
    for (const auto &[Run, Stop] :
         Agent.RunOrders.update(Agent.Orders, Now.Boot))
      Agent.ToSend.emplace_back(Stop, Run);
    if (Agent.ToSend.empty())
      return;
    const auto [Stop, Run] = Agent.ToSend.front();
    Agent.ToSend.pop_front();
    const bool IsDelayed = !FaultsDisabled && chance(15);
    const bool AnswerIsLost = !FaultsDisabled && chance(15);
    if (Stop)
      sendStop(Agent, Worker, Run, IsDelayed, AnswerIsLost);
    else if (Agent.RunOrders.isStartPending(Run))
      sendStart(Agent, Worker, Run, IsDelayed, AnswerIsLost);
  }

  void sendStop(ModelAgent &Agent, ModelWorker &Worker, const RunId &Run,
                bool IsDelayed, bool AnswerIsLost) {
    if (IsDelayed)
      Worker.Delayed.emplace_back(true, Run);
    else
      Worker.stop(Run);
    if (IsDelayed || AnswerIsLost)
      Agent.RunOrders.markStopFailed(Run, Now.Boot);
    else
      Agent.RunOrders.markStopped(Run, Now.Boot);
  }

  void sendStart(ModelAgent &Agent, ModelWorker &Worker, const RunId &Run,
                 bool IsDelayed, bool AnswerIsLost) {
    bool MayHaveBeenSent = true;
    for (const wire::StartOrder &Start : Agent.Orders.starts())
      if (RunId(Start.task(), Start.run()) == Run)
        MayHaveBeenSent = Start.may_have_been_sent();
    const bool Refuses = chance(10);
    bool Started = false;
    if (IsDelayed)
      Worker.Delayed.emplace_back(false, Run);
    else if (!Refuses)
      Started = startRun(Worker, Run);
    const bool Listed = Worker.Running.count(Run.first) &&
                        Worker.Running.at(Run.first) == Run.second;
    if (IsDelayed || !Refuses)
      Agent.SentRuns.insert(Run);
    if (!IsDelayed && !AnswerIsLost && Refuses && !MayHaveBeenSent)
      Agent.RunOrders.markRefused(Run, wire::REFUSED_NO_ROOM);
    else if (Listed || (Started && !AnswerIsLost))
      Agent.RunOrders.markStarted(Run);
    else {
      Agent.RunOrders.markUnknown(Run);
      Agent.ToSend.emplace_back(true, Run);
    }
  }

  bool startRun(ModelWorker &Worker, const RunId &Run) {
    const bool WasRunning = Worker.Running.count(Run.first) > 0;
    const bool Started = Worker.start(Run);
    const std::string Unit = unitOf(Run.first);
    if (Started && !WasRunning && Done.count(Unit))
      Violation = Run.first + " starts after its end was acknowledged";
    if (Started && !WasRunning &&
        AcknowledgedFailures[Unit].size() >= Kind.MaxAttempts)
      Violation = Run.first + " starts without attempts left";
    if (Started && !WasRunning && Deadly.count(Run.first)) {
      Worker.CrashingUnder = Run.first;
      if (CrashesUnder[Run.first] >= 3 && ++LaterStarts[Run.first] >= 3)
        Violation = Run.first + " starts three times more after three crashes";
    }
    return Started;
  }

  void deliverDelayed(std::size_t N) {
    ModelWorker &Worker = Workers[N];
    if (Worker.Delayed.empty())
      return;
    const auto [Stop, Run] = Worker.Delayed.front();
    Worker.Delayed.pop_front();
    if (Stop)
      Worker.stop(Run);
    else
      startRun(Worker, Run);
  }

  void endRandomRun(std::size_t N) {
    ModelWorker &Worker = Workers[N];
    if (Worker.Running.empty())
      return;
    auto Task = Worker.Running.begin();
    std::advance(Task, static_cast<long>(pick(Worker.Running.size())));
    const RunId Run = *Task;
    const bool Fails = !FaultsDisabled && chance(20);
    const std::vector<RunOnWorker> Members = membersOf(Run);
    // A gang without all its members never works. Each waits for the others for
    // a while.
    if (Members.size() < sizeOfUnit(Run.first)) {
      if (chance(10))
        end(Worker, Run, wire::RUN_BROKEN);
      return;
    }
    end(Worker, Run, Fails ? wire::RUN_FAILED : wire::RUN_DONE);
    for (const auto &[Other, Member] : Members) {
      if (Member == Run)
        continue;
      if (!Fails)
        end(*Other, Member, wire::RUN_DONE);
      // It fails together with the others, or hears of their end later.
      else if (chance(60))
        end(*Other, Member, wire::RUN_FAILED);
    }
  }

  using RunOnWorker = std::pair<ModelWorker *, RunId>;

  /// Returns the members of a run that are on workers.
  std::vector<RunOnWorker> membersOf(const RunId &Run) {
    std::vector<RunOnWorker> Members;
    for (ModelWorker &Worker : Workers)
      for (const auto &Other : Worker.Running)
        if (Other.second == Run.second &&
            unitOf(Other.first) == unitOf(Run.first))
          Members.emplace_back(&Worker, Other);
    return Members;
  }

  std::size_t sizeOfUnit(const std::string &Task) const {
    const TaskName Name = *parseTaskName(Task);
    const wire::StepSpec &Step =
        std::as_const(Tracker).jobs().at(Name.Job).spec().steps(
            static_cast<int>(Name.Step));
    return Step.gang() ? Step.count() : 1;
  }

  void end(ModelWorker &Worker, const RunId &Run, wire::RunEnding How) {
    if (How == wire::RUN_FAILED)
      FailedRunsOf[unitOf(Run.first)].insert(Run.second);
    Worker.end(Run.first, How);
  }

  void checkInvariants() {
    std::map<std::string, int> Count;
    for (const ModelWorker &Worker : Workers)
      for (const auto &[Task, Run] : Worker.Running)
        if (++Count[Task] > 1)
          Violation = Task + " runs twice";
    for (const auto &[Id, Job] : std::as_const(Tracker).jobs())
      if (Job.Failed && !mayFail(Id))
        Violation = Id.str() + " fails without cause";
  }

  std::mt19937 Random;
  /// Tasks that crash the worker that starts them.
  std::set<std::string> Deadly;
  const ModelJobs Kind;
  /// Runs of which a member ended failed, by unit.
  std::map<std::string, std::set<std::uint64_t>> FailedRunsOf;
  /// Those among them of which such an end was acknowledged.
  std::map<std::string, std::set<std::uint64_t>> AcknowledgedFailures;
  /// Number of crashes of workers while they ran the task.
  std::map<std::string, int> CrashesUnder;
  /// Starts of deadly tasks after three crashes.
  std::map<std::string, int> LaterStarts;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  std::vector<std::shared_ptr<wire::TaskJobSpec>> Specs;
  std::vector<ModelWorker> Workers;
  std::vector<ModelAgent> Agents;
  JobTracker Tracker;
  std::map<JobId, wire::TaskJobProgress> Stored;
  std::map<std::string, wire::TaskOrders> Published;
  /// Units of which an end as done was acknowledged.
  std::set<std::string> Done;
  std::string Violation;
  bool FaultsDisabled = false;
};

} // namespace

TEST_GROUP(TaskModel){};

TEST(TaskModel, NeverRunsATaskTwiceUnderFaults) {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    Model Cell(Seed);
    const std::string Violation = Cell.run(600);
    if (!Violation.empty())
      FAIL(("seed " + std::to_string(Seed) + ": " + Violation).c_str());
  }
}

TEST(TaskModel, CompletesEveryJobOnceFaultsStop) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    Model Cell(Seed);
    Cell.run(300);
    if (!Cell.allDone())
      FAIL(("seed " + std::to_string(Seed) + ": unfinished jobs").c_str());
  }
}

// Pattern: some tasks crash each worker that starts them, so that they would be
// started, and crash workers, without end.
TEST(TaskModel, SeldomRestartsATaskThatCrashesItsWorkers) {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    Model Cell(Seed, {"job0.0.0.1", "job2.0.0.0"});
    const std::string Violation = Cell.run(2000);
    if (!Violation.empty())
      FAIL(("seed " + std::to_string(Seed) + ": " + Violation).c_str());
  }
}

// Pattern: the jobs beside a deadly task lose their workers each time it
// starts.
TEST(TaskModel, EndsEveryJobBesideDeadlyTasksOnceFaultsStop) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    Model Cell(Seed, {"job0.0.0.1", "job2.0.0.0"});
    const std::string Violation = Cell.run(300);
    if (!Violation.empty())
      FAIL(("seed " + std::to_string(Seed) + ": " + Violation).c_str());
    if (!Cell.allDone())
      FAIL(("seed " + std::to_string(Seed) + ": unfinished jobs").c_str());
  }
}

// Pattern: members of one run of a gang fail together, and coordinators take
// over between their ends. Guards against a job that is shown as failed with
// attempts left, and against a start without any.
TEST(TaskModel, FailsJobsAndGangsOnlyAfterTheirLastAttempt) {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    Model Cell(Seed, {}, {3, true});
    const std::string Violation = Cell.run(600);
    if (!Violation.empty())
      FAIL(("seed " + std::to_string(Seed) + ": " + Violation).c_str());
  }
}

// Guards against a gang that neither ends nor starts again after ends of one
// run that were heard at different times.
TEST(TaskModel, EndsEveryGangOnceFaultsStop) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    Model Cell(Seed, {}, {3, true});
    const std::string Violation = Cell.run(300);
    if (!Violation.empty())
      FAIL(("seed " + std::to_string(Seed) + ": " + Violation).c_str());
    if (!Cell.allDone())
      FAIL(("seed " + std::to_string(Seed) + ": unfinished jobs").c_str());
  }
}
