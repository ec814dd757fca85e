// Randomized model of leases, with the store, the network and the clocks. The
// coordinator writes through ProgressWriter to a store with outages and with
// lost and late answers; leases expire on slow worker clocks; coordinators take
// over and agents restart at any time; reports, answers and orders are late,
// repeated, lost and out of order. No task may run twice at once, nor start
// again after its end was acknowledged, and all jobs end once faults stop.
// Times are about a quarter of the real ones.

#include "FakeKv.h"
#include "tasks/StoreKeys.h"
#include "tasks/agent/ReportParts.h"
#include "tasks/agent/WorkerLease.h"
#include "tasks/coordination/AgentAdmission.h"
#include "tasks/coordination/JobTracker.h"
#include "tasks/coordination/ProgressWriter.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

constexpr Milliseconds StepTime{20};
constexpr Milliseconds Grant{1500};
/// The grant on the slowest clock and the margin of the coordinator.
constexpr Milliseconds Expiry{1650};
constexpr Milliseconds ListingTimeout{400};
constexpr Milliseconds CallTimeout{450};
constexpr Milliseconds RoleTtl{600};
constexpr Milliseconds LongestLateOrder{3000};
constexpr Milliseconds BarTime{5000};
constexpr double SlowestClockRate = 0.98;

struct LateOrder {
  bool Stop = false;
  RunId Run;
  double Deadline = 0;
  std::uint64_t Term = 0;
  BootInstant At{};
};

/// A worker that gives only the guarantees of the platform. A late start counts
/// as in time while any lease lasts.
struct LeaseWorker {
  std::string Node;
  int IncarnationNumber = 1;
  double ClockRate = 1;
  double Clock = 1000;
  double Lease = 0;
  std::uint64_t Fence = 0;
  std::map<std::string, std::uint64_t> Running;
  std::map<std::string, std::uint64_t> Barred;
  std::vector<wire::RunEnd> Ends;
  std::uint64_t LastEnd = 0;
  BootInstant SilentUntil{};
  std::vector<LateOrder> Late;

  std::string incarnation() const {
    return Node + "/w#" + std::to_string(IncarnationNumber);
  }

  void advance() {
    Clock += double(StepTime.count()) * ClockRate;
    while (Clock >= Lease && !Running.empty())
      end(Running.begin()->first, wire::RUN_LAPSED);
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

  bool passesFence(std::uint64_t Term) {
    Fence = std::max(Fence, Term);
    return Term >= Fence;
  }

  bool start(const LateOrder &Order) {
    const auto &[Task, Run] = Order.Run;
    if (!passesFence(Order.Term))
      return false;
    const auto Held = Running.find(Task);
    if (Held != Running.end())
      return Held->second == Run;
    if (Barred[Task] >= Run || std::max(Order.Deadline, Lease) <= Clock)
      return false;
    Lease = std::max(Lease, Order.Deadline);
    Running[Task] = Run;
    return true;
  }

  bool stop(const LateOrder &Order) {
    const auto &[Task, Run] = Order.Run;
    if (!passesFence(Order.Term))
      return false;
    const auto Held = Running.find(Task);
    if (Held != Running.end() && Held->second == Run)
      end(Task, wire::RUN_STOPPED);
    Barred[Task] = std::max(Barred[Task], Run);
    return true;
  }

  void crash() {
    ++IncarnationNumber;
    Running.clear();
    Barred.clear();
    Ends.clear();
    Late.clear();
    LastEnd = 0;
    Lease = 0;
    Fence = 0;
  }
};

/// The state of TaskAgent.
struct LeaseAgent {
  std::uint64_t Incarnation = 1;
  std::uint64_t Sequence = 0;
  std::uint64_t Session = 0;
  std::uint64_t Term = 0;
  RunOrderTracker RunOrders;
  WorkerLease Lease;
  wire::TaskOrders Orders;
  std::string Worker;
  std::string LostWorker;
  LostRunMap LostRuns;
  std::set<RunId> StartsSent;
  std::set<RunId> UnansweredStarts;
  std::vector<wire::RunStatus> Running;
  std::vector<wire::RunEnd> Ends;
  bool Listed = false;
  BootInstant ListedAt{};
  double WorkerClock = 0;
  BootInstant WorkerClockAt{};
  BootInstant PausedUntil{};
  std::deque<std::pair<bool, RunId>> ToSend;
};

/// The state of WorkerSession.
struct LeaseSession {
  AgentAdmission Agents;
  wire::TaskReport Report;
  bool HasNewReport = false;
  BootInstant GrantedAt{};
  BootInstant CalledAt{};
  BootInstant OtherAgentCalledAt{};
  wire::TaskOrders Orders;
  std::uint64_t OrdersAgent = 0;
  std::string PublishedOrders;
  std::map<RunName, BootInstant> Bars;
};

/// A report or an answer on its way.
struct Message {
  std::size_t Node = 0;
  std::uint64_t Agent = 0;
  BootInstant SentAt{};
  BootInstant At{};
  bool IsAnswer = false;
  wire::TaskReport Report;
  wire::TaskOrders Orders;
};

class LeaseModel {
public:
  explicit LeaseModel(unsigned Seed) : Random(Seed) {
    for (int N = 0; N < 3; ++N) {
      Workers.emplace_back();
      Workers.back().Node = "n" + std::to_string(N);
      Workers.back().ClockRate = N == 0 ? 1.0 : SlowestClockRate;
      Agents.emplace_back();
      Agents.back().Incarnation = Random();
    }
    for (int J = 0; J < 4; ++J) {
      auto Spec = std::make_shared<wire::TaskJobSpec>();
      Spec->set_id("job" + std::to_string(J));
      Spec->set_queue("q");
      Spec->set_service("s");
      Spec->set_max_attempts(100);
      wire::StepSpec &Step = *Spec->add_steps();
      Step.set_count(3);
      Step.set_accelerators(1);
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
    FaultsDisabled = true;
    Kv.setFault(FakeKv::Fault::None);
    StoreDownUntil = BootInstant{};
    for (int I = 0; I < 3000 && Violation.empty(); ++I) {
      step();
      bool Done = true;
      for (const auto &[Id, Job] : std::as_const(Tracker).jobs())
        Done = Done && Job.areAllDone();
      if (Done)
        return true;
    }
    return false;
  }

private:
  bool chance(int PerMille) {
    return std::uniform_int_distribution<int>(0, 999)(Random) < PerMille;
  }
  bool fault(int PerMille) { return !FaultsDisabled && chance(PerMille); }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }
  Milliseconds delay(Milliseconds Longest) {
    return Milliseconds(static_cast<std::int64_t>(
        pick(static_cast<std::size_t>(Longest.count()) + 1)));
  }

  void step() {
    Now.Boot += StepTime;
    Now.UnixMs += StepTime.count();
    for (LeaseWorker &Worker : Workers) {
      Worker.advance();
      carryOutLateOrders(Worker);
    }
    if (!FaultsDisabled)
      injectFaults();
    deliverMessages();
    if (chance(400))
      round();
    for (std::size_t N = 0; N < Workers.size(); ++N)
      if (Agents[N].PausedUntil <= Now.Boot)
        agentStep(N);
    if (chance(60))
      endRandomRun(Workers[pick(Workers.size())]);
    checkInvariants();
  }

  void injectFaults() {
    if (StoreDownUntil != BootInstant{} && StoreDownUntil <= Now.Boot) {
      Kv.setFault(FakeKv::Fault::None);
      StoreDownUntil = BootInstant{};
      if (StoreDownSince + RoleTtl <= Now.Boot)
        takeOver();
    }
    if (StoreDownUntil == BootInstant{}) {
      if (chance(3)) {
        StoreDownSince = Now.Boot;
        StoreDownUntil = Now.Boot + delay(Milliseconds(3000));
        Kv.setFault(FakeKv::Fault::Unavailable);
      } else if (chance(4))
        takeOver();
    }
    if (chance(50))
      Kv.applyDelayed();
    const std::size_t N = pick(Workers.size());
    if (chance(6))
      restartAgent(N);
    if (chance(8))
      Agents[N].PausedUntil = Now.Boot + delay(Milliseconds(2500));
    if (chance(10))
      Workers[N].SilentUntil = Now.Boot + delay(Milliseconds(2500));
    if (chance(8))
      CutUntil[N] = Now.Boot + delay(Milliseconds(2500));
    if (chance(2))
      Workers[N].crash();
  }

  // The coordinator, as in TaskCoordinator.

  bool isConfirmed() const {
    return StoreDownUntil == BootInstant{} ||
           Now.Boot < StoreDownSince + RoleTtl;
  }

  /// Models a new coordinator, which knows only what the store holds.
  void takeOver() {
    Kv.put(keys::Coordinator, "front");
    const std::int64_t Revision = (*Kv.read(keys::Coordinator))->Revision;
    Term = {Epoch(static_cast<std::uint64_t>(Revision)), Revision};
    Tracker.clear();
    Tracker.beginTerm(Term.Number);
    for (const auto &Spec : Specs)
      Tracker.addJob(Spec);
    const auto All = Kv.list(keys::Progress);
    for (const StoreItem &Item : All->Items) {
      wire::TaskJobProgress Stored;
      if (Stored.ParseFromString(Item.Value))
        Tracker.restore(JobId(Item.Key.substr(keys::Progress.size())), Stored,
                        Item.Revision);
    }
    Sessions.clear();
    for (const NodeId &Node : Tracker.nodesWithRuns())
      Sessions[Node.str()].GrantedAt = Now.Boot;
  }

  std::uint64_t firstRevision() const { return Term.Number.value() * 1000000; }

  bool persist() {
    if (Tracker.dirty().empty())
      return true;
    if (StoreDownUntil == BootInstant{}) {
      Kv.setFault(fault(40)   ? FakeKv::Fault::AnswerLost
                  : fault(40) ? FakeKv::Fault::Delayed
                              : FakeKv::Fault::None);
    }
    const WriteOutcome Outcome =
        Writer.write(Term, Tracker.jobs(), Tracker.dirty());
    if (StoreDownUntil == BootInstant{})
      Kv.setFault(FakeKv::Fault::None);
    return Outcome == WriteOutcome::Written;
  }

  void round() {
    if (!isConfirmed() || !persist())
      return;
    applyReports();
    Tracker.finishJobs(Now);
    std::vector<wire::TaskReport> Reachable;
    for (const auto &[Node, Session] : Sessions)
      if (Session.Report.complete() &&
          Now.Boot - Session.CalledAt < Milliseconds(800))
        Reachable.push_back(Session.Report);
    Tracker.plan(Reachable, QueueConfig(), Now);
    if (persist())
      publish();
  }

  void noteGivenUp(LeaseSession &Session) {
    for (const RunName &Run : Tracker.takeGivenUp())
      Session.Bars[Run] = Now.Boot + BarTime;
  }

  void applyReports() {
    const std::set<NodeId> Busy = Tracker.nodesWithRuns();
    for (auto &[Node, Session] : Sessions) {
      const bool IsOther = Now.Boot - Session.OtherAgentCalledAt <= Expiry;
      if (std::exchange(Session.HasNewReport, false)) {
        if (!Session.Report.lapsed() || !IsOther)
          Tracker.applyReport(Session.Report, Now);
      } else if (Now.Boot - Session.GrantedAt > Expiry &&
                 Busy.count(NodeId(Node))) {
        Session.OrdersAgent = 0;
        Tracker.expireLeases(
            {NodeId(Node), WorkerIncarnation(Session.Report.worker()),
             Term.Number, std::numeric_limits<std::uint64_t>::max()},
            Now);
      }
      noteGivenUp(Session);
    }
  }

  void publish() {
    for (auto &[Node, Session] : Sessions) {
      if (Session.Report.node().empty())
        continue;
      const std::uint64_t Next =
          std::max(Session.Orders.revision(), firstRevision()) + 1;
      wire::TaskOrders Orders = Tracker.ordersFor(Session.Report, Next);
      std::string Serialized = Orders.SerializeAsString();
      if (Serialized == Session.PublishedOrders &&
          Session.OrdersAgent == Session.Report.agent_life())
        continue;
      Orders.set_revision(Next);
      Session.Orders = std::move(Orders);
      Session.OrdersAgent = Session.Report.agent_life();
      Session.PublishedOrders = std::move(Serialized);
    }
  }

  void attend(const Message &Call) {
    if (!isConfirmed())
      return;
    const wire::TaskReport &Report = Call.Report;
    LeaseSession &Session = Sessions[Report.node()];
    Session.CalledAt = Now.Boot;
    Session.GrantedAt = Now.Boot;
    if (!Session.Agents.isCurrent(Report, firstRevision() + ++LastSession))
      Session.OtherAgentCalledAt = Now.Boot;
    else if (Session.Agents.isNew(Report)) {
      Session.Report = Report;
      Session.Report.set_agent_life(agentOf(Report));
      Session.HasNewReport = true;
    }
    Message Answer = Call;
    Answer.IsAnswer = true;
    Answer.Orders.Clear();
    if (Session.Orders.worker() == Report.worker() &&
        Session.OrdersAgent == agentOf(Report)) {
      if (Session.Orders.revision() == Report.orders_seen())
        Answer.Orders.set_revision(Session.Orders.revision());
      else
        Answer.Orders = Session.Orders;
    }
    for (auto Bar = Session.Bars.begin(); Bar != Session.Bars.end();) {
      if (Bar->second < Now.Boot) {
        Bar = Session.Bars.erase(Bar);
        continue;
      }
      wire::RunKey &Run = *Answer.Orders.add_bars();
      Run.set_task(Bar->first.first);
      Run.set_run(Bar->first.second);
      ++Bar;
    }
    Answer.Orders.set_epoch(Term.Number.value());
    Answer.Orders.set_agent_session(Session.Agents.sessionFor(Report));
    send(std::move(Answer));
  }

  // The network.

  void send(Message Sent) {
    if (fault(30) || CutUntil[Sent.Node] > Now.Boot)
      return;
    Sent.At =
        Now.Boot + delay(fault(30) ? Milliseconds(1500) : Milliseconds(60));
    if (fault(30)) {
      Messages.push_back(Sent);
      Messages.back().At += delay(Milliseconds(1500));
    }
    Messages.push_back(std::move(Sent));
  }

  void deliverMessages() {
    std::vector<Message> Due;
    std::vector<Message> Later;
    for (Message &Each : Messages)
      (Each.At <= Now.Boot ? Due : Later).push_back(std::move(Each));
    Messages = std::move(Later);
    for (Message &Each : Due) {
      if (!Each.IsAnswer) {
        attend(Each);
        continue;
      }
      LeaseAgent &Agent = Agents[Each.Node];
      if (Each.Agent != Agent.Incarnation)
        continue;
      // A paused agent reads the answer when it goes on.
      if (Agent.PausedUntil > Now.Boot) {
        Each.At = Agent.PausedUntil;
        Messages.push_back(std::move(Each));
      } else if (Each.At - Each.SentAt < CallTimeout || chance(100))
        applyOrders(Each.Node, Each.Orders, Each.SentAt);
    }
  }

  // The agent, as in TaskAgent.

  void agentStep(std::size_t N) {
    LeaseAgent &Agent = Agents[N];
    if (Agent.Worker != Workers[N].incarnation() && chance(100))
      changeWorker(N);
    if (chance(150))
      call(N);
    if (chance(200))
      listRuns(N);
    for (int I = 0; I < 3; ++I)
      if (chance(300))
        sendOrder(N);
  }

  void changeWorker(std::size_t N) {
    LeaseAgent &Agent = Agents[N];
    if (!Agent.Worker.empty()) {
      Agent.LostWorker = Agent.Worker;
      Agent.LostRuns.clear();
      for (const RunId &Run : Agent.StartsSent)
        Agent.LostRuns[Run] = false;
      for (const wire::RunStatus &Run : Agent.Running)
        Agent.LostRuns[{Run.task(), Run.run()}] = true;
    }
    Agent.UnansweredStarts = std::move(Agent.StartsSent);
    Agent.StartsSent.clear();
    Agent.Lease.resetWorker();
    Agent.Running.clear();
    Agent.Ends.clear();
    Agent.RunOrders.clear();
    Agent.Orders.Clear();
    Agent.ToSend.clear();
    Agent.Listed = false;
    Agent.WorkerClockAt = BootInstant{};
    Agent.Worker = Workers[N].incarnation();
  }

  void restartAgent(std::size_t N) {
    LeaseAgent &Agent = Agents[N];
    for (const auto &[Stop, Run] : Agent.ToSend)
      if (!Stop && Agent.RunOrders.isStartPending(Run) && chance(500))
        addLate(N, {Stop, Run, deadline(N), Agent.Term, {}});
    const std::uint64_t Incarnation = Random();
    Agent = LeaseAgent();
    // Incarnation numbers have no order.
    Agent.Incarnation = Incarnation;
  }

  void call(std::size_t N) {
    LeaseAgent &Agent = Agents[N];
    Message Call;
    Call.Node = N;
    Call.Agent = Agent.Incarnation;
    Call.SentAt = Now.Boot;
    wire::TaskReport &Report = Call.Report;
    Report.set_node(Workers[N].Node);
    Report.set_agent_incarnation(Agent.Incarnation);
    Report.set_agent_session(Agent.Session);
    Report.set_sequence(++Agent.Sequence);
    Report.set_orders_seen(Agent.Orders.revision());
    Report.set_worker(Agent.Worker);
    Report.set_lost_worker(Agent.LostWorker);
    addLostRuns(Report, Agent.LostRuns);
    Report.set_complete(Agent.Listed &&
                        Now.Boot - Agent.ListedAt < ListingTimeout);
    Report.set_lapsed(!Report.complete() && Agent.Lease.hasExpired(Now.Boot));
    if (Report.lapsed()) {
      Agent.RunOrders.voidStarts();
      Report.set_lapsed_epoch(Agent.Term);
      Report.set_lapsed_revision(Agent.Orders.revision());
    }
    if (!Agent.Worker.empty()) {
      Report.set_service("s");
      Report.set_accelerators(8);
      *Report.mutable_running() = {Agent.Running.begin(), Agent.Running.end()};
      addEnds(Report, Agent.Ends);
      addRefusals(Report, Agent.RunOrders.refusals());
    }
    send(std::move(Call));
  }

  void applyOrders(std::size_t N, const wire::TaskOrders &Orders,
                   BootInstant SentAt) {
    LeaseAgent &Agent = Agents[N];
    if (Orders.epoch() < Agent.Term)
      return;
    Agent.Term = Orders.epoch();
    if (Orders.agent_session())
      Agent.Session = Orders.agent_session();
    for (const wire::RunKey &Run : Orders.bars())
      Agent.Lease.requireBar({Run.task(), Run.run()});
    if (Agent.Lease.hasGrantRunOut(Now.Boot))
      Agent.RunOrders.voidStarts();
    if (!Agent.Lease.grant(SentAt + Grant, Now.Boot))
      return;
    queueOrders(Agent);
    if (Agent.Worker.empty() || Orders.worker() != Agent.Worker ||
        Orders.revision() <= Agent.Orders.revision())
      return;
    Agent.Orders = Orders;
    queueOrders(Agent);
    auto &Ends = Workers[N].Ends;
    if (!reaches(N))
      return;
    while (!Ends.empty() &&
           Ends.front().number() <= Orders.acknowledged_end()) {
      if (Ends.front().ending() == wire::RUN_DONE)
        Done.insert(Ends.front().task());
      Ends.erase(Ends.begin());
    }
  }

  void queueOrders(LeaseAgent &Agent) const {
    for (const auto &[Run, Stop] :
         Agent.RunOrders.update(Agent.Orders, Now.Boot))
      Agent.ToSend.emplace_back(Stop, Run);
    for (const RunId &Run : Agent.Lease.barsToSend())
      Agent.ToSend.emplace_back(true, Run);
  }

  /// Whether the worker answers calls of its agent now.
  bool reaches(std::size_t N) const {
    return Workers[N].SilentUntil <= Now.Boot &&
           Agents[N].Worker == Workers[N].incarnation();
  }

  /// Returns the lease to give now on the worker's clock, or zero.
  double deadline(std::size_t N) {
    LeaseAgent &Agent = Agents[N];
    Agent.Lease.checkExpiry(Now.Boot);
    if (Agent.WorkerClockAt == BootInstant{} ||
        Now.Boot - Agent.ListedAt >= ListingTimeout)
      return 0;
    const BootInstant Until = Agent.Lease.extend(Now.Boot);
    if (Until == BootInstant{})
      return 0;
    return Agent.WorkerClock +
           double((Until - Agent.WorkerClockAt).count()) * SlowestClockRate;
  }

  void listRuns(std::size_t N) {
    LeaseAgent &Agent = Agents[N];
    LeaseWorker &Worker = Workers[N];
    if (Agent.Worker.empty() || Agent.Term == 0)
      return;
    const double Deadline = deadline(N);
    if (!reaches(N) || !Worker.passesFence(Agent.Term))
      return;
    Worker.Lease = std::max(Worker.Lease, Deadline);
    if (fault(50))
      return; // The answer is lost.
    std::set<RunId> Known;
    Agent.Running.clear();
    for (const auto &[Task, Run] : Worker.Running) {
      wire::RunStatus Status;
      Status.set_task(Task);
      Status.set_run(Run);
      Agent.Running.push_back(Status);
      Known.insert({Task, Run});
    }
    Agent.Ends = Worker.Ends;
    for (const wire::RunEnd &End : Agent.Ends) {
      Known.insert({End.task(), End.run()});
      Agent.StartsSent.erase({End.task(), End.run()});
    }
    Agent.Listed = true;
    Agent.ListedAt = Now.Boot;
    Agent.WorkerClock = Worker.Clock;
    Agent.WorkerClockAt = Now.Boot;
    Agent.RunOrders.applyListing(Known, Now.Boot);
    std::set<RunId> Sent = Agent.UnansweredStarts;
    Sent.insert(Agent.StartsSent.begin(), Agent.StartsSent.end());
    Agent.Lease.applyListing(Now.Boot, Known, Sent);
    queueOrders(Agent);
  }

  void sendOrder(std::size_t N) {
    LeaseAgent &Agent = Agents[N];
    if (Agent.ToSend.empty())
      return;
    const auto [Stop, Run] = Agent.ToSend.front();
    Agent.ToSend.pop_front();
    if (Stop)
      sendStop(N, Run);
    else if (Agent.RunOrders.isStartPending(Run))
      sendStart(N, Run);
  }

  void sendStop(std::size_t N, const RunId &Run) {
    LeaseAgent &Agent = Agents[N];
    const LateOrder Order{true, Run, 0, Agent.Term, {}};
    const bool IsLate = fault(150);
    bool IsDone = false;
    if (IsLate)
      addLate(N, Order);
    else if (reaches(N))
      IsDone = Workers[N].stop(Order) && !fault(100);
    if (IsDone) {
      Agent.RunOrders.markStopped(Run, Now.Boot);
      Agent.Lease.noteBarred(Run);
    } else {
      Agent.RunOrders.markStopFailed(Run, Now.Boot);
      Agent.Lease.noteBarFailed(Run);
    }
  }

  void sendStart(std::size_t N, const RunId &Run) {
    LeaseAgent &Agent = Agents[N];
    bool MayHaveBeenSent = true;
    for (const wire::StartOrder &Start : Agent.Orders.starts())
      if (RunId(Start.task(), Start.run()) == Run)
        MayHaveBeenSent = Start.may_have_been_sent();
    const double Deadline = deadline(N);
    const bool MaySend = Deadline > 0;
    if (!MaySend && Agent.Lease.isBarring()) {
      Agent.RunOrders.postpone(Run);
      return;
    }
    bool IsRefused = false;
    bool IsDone = false;
    if (MaySend) {
      Agent.StartsSent.insert(Run);
      Agent.RunOrders.markSent(Run);
      const LateOrder Order{false, Run, Deadline, Agent.Term, {}};
      if (fault(200))
        addLate(N, Order);
      else if (reaches(N)) {
        const bool Started = !chance(50) && startRun(Workers[N], Order);
        const bool IsAnswered = !fault(100);
        IsRefused = !Started && IsAnswered;
        IsDone = Started && IsAnswered;
      }
    }
    if (IsRefused && !MayHaveBeenSent) {
      Agent.RunOrders.markRefused(Run, wire::REFUSED_NO_ROOM);
      Agent.StartsSent.erase(Run);
    } else if (IsDone) {
      Agent.RunOrders.markStarted(Run);
      wire::RunStatus Status;
      Status.set_task(Run.first);
      Status.set_run(Run.second);
      Agent.Running.push_back(Status);
    } else
      Agent.RunOrders.markUnknown(Run);
    queueOrders(Agent);
  }

  // Workers.

  void addLate(std::size_t N, LateOrder Order) {
    Order.At = Now.Boot + Milliseconds(100) + delay(LongestLateOrder);
    if (Agents[N].Worker == Workers[N].incarnation())
      Workers[N].Late.push_back(Order);
  }

  void carryOutLateOrders(LeaseWorker &Worker) {
    for (std::size_t I = 0; I < Worker.Late.size();) {
      const LateOrder Order = Worker.Late[I];
      if (Order.At > Now.Boot) {
        ++I;
        continue;
      }
      Worker.Late.erase(Worker.Late.begin() + static_cast<long>(I));
      if (Order.Stop)
        Worker.stop(Order);
      else
        startRun(Worker, Order);
    }
  }

  bool startRun(LeaseWorker &Worker, const LateOrder &Order) {
    const bool WasRunning = Worker.Running.count(Order.Run.first) > 0;
    const bool Started = Worker.start(Order);
    if (Started && !WasRunning && Done.count(Order.Run.first))
      Violation = Order.Run.first + " starts after its end was acknowledged";
    return Started;
  }

  void endRandomRun(LeaseWorker &Worker) {
    if (Worker.Running.empty())
      return;
    auto Task = Worker.Running.begin();
    std::advance(Task, static_cast<long>(pick(Worker.Running.size())));
    const std::string Name = Task->first;
    Worker.end(Name, fault(700) ? wire::RUN_FAILED : wire::RUN_DONE);
  }

  void checkInvariants() {
    std::map<std::string, int> Count;
    for (const LeaseWorker &Worker : Workers)
      for (const auto &[Task, Run] : Worker.Running)
        if (++Count[Task] > 1)
          Violation = Task + " runs twice";
  }

  std::mt19937_64 Random;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  FakeKv Kv;
  ProgressWriter Writer{Kv};
  CoordinatorTerm Term;
  JobTracker Tracker;
  std::map<std::string, LeaseSession> Sessions;
  std::uint64_t LastSession = 0;
  std::vector<std::shared_ptr<wire::TaskJobSpec>> Specs;
  std::vector<LeaseWorker> Workers;
  std::vector<LeaseAgent> Agents;
  std::vector<Message> Messages;
  std::map<std::size_t, BootInstant> CutUntil;
  BootInstant StoreDownSince{};
  BootInstant StoreDownUntil{};
  std::set<std::string> Done;
  std::string Violation;
  bool FaultsDisabled = false;
};

} // namespace

TEST_GROUP(TaskModelLease){};

// Pattern: a report of expired leases gives up runs that were placed after it,
// or whose starts can still be carried out, and they run twice.
TEST(TaskModelLease, NeverRunsATaskTwiceWhenLeasesExpire) {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    LeaseModel Cell(Seed);
    const std::string Violation = Cell.run(2000);
    if (!Violation.empty())
      FAIL(("seed " + std::to_string(Seed) + ": " + Violation).c_str());
  }
}

// Pattern: a run that is never given up, or a lease that is never extended
// again, keeps its job from ending.
TEST(TaskModelLease, CompletesEveryJobOnceFaultsStop) {
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    LeaseModel Cell(Seed);
    Cell.run(500);
    if (!Cell.allDone())
      FAIL(("seed " + std::to_string(Seed) + ": unfinished jobs").c_str());
  }
}
