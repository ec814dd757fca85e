#include "tasks/coordination/TaskCoordinator.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "base/StateDump.h"
#include "tasks/StoreKeys.h"
#include "tasks/StoredJob.h"
#include "tasks/coordination/RunTimeReport.h"

#include <algorithm>
#include <array>

namespace baobabcove {

namespace {

/// Longest time between rounds; due times, waits and leases are checked this
/// often.
constexpr Milliseconds RoundPeriod{100};
/// Pause after each round, for each worker. Every report with news asks for a
/// round, and a round looks at every worker; without a pause the work would
/// grow with their product. Reports that arrive meanwhile share the next round.
constexpr std::chrono::microseconds PausePerWorker{100};
constexpr std::chrono::microseconds MaxPause{50000};
/// Delay between attempts to read the store after the role was acquired.
constexpr Milliseconds TakeoverRetryDelay{150};
/// Tombstones are not read before this, so that the first orders of a new
/// coordinator do not wait for it.
constexpr Milliseconds SweepDelay{5000};
/// A worker gets no new task if its agent's poll is overdue by this.
constexpr Milliseconds ReportMargin{1100};
/// Lowest rate of a worker's clock relative to real time (the platform allows
/// clocks that are 2 % slow), and the time that a worker takes to end runs
/// whose lease expired.
constexpr double SlowestClockRate = 0.98;
constexpr Milliseconds LeaseExpiryMargin{500};
/// Ended jobs are removed this long after the end of their retention period.
constexpr Milliseconds RemovalMargin{30000};

/// A round that takes longer is logged, at most once in this period.
constexpr Milliseconds SlowRound{250};
constexpr Milliseconds SlowRoundLogPeriod{1000};
/// What the run time model shows is brought up to date this often.
constexpr Milliseconds RunTimeReportPeriod{10000};

/// Shows why the steps that wait longest are not placed.
void recordWaits(const JobTracker &Tracker, Metrics &Stats) {
  std::array<std::uint64_t, WaitReasonNames.size()> Steps{};
  Milliseconds Longest{0};
  for (const StepWait &Wait : Tracker.waits()) {
    ++Steps[static_cast<std::size_t>(Wait.Reason)];
    Longest = std::max(Longest, Wait.Waited);
  }
  for (std::size_t Reason = 0; Reason < Steps.size(); ++Reason)
    Stats.set(std::string("waiting_steps_") + WaitReasonNames[Reason],
              Steps[Reason]);
  Stats.set("waiting_steps", Tracker.waitingSteps());
  Stats.set("waiting_steps_longest_ms",
            static_cast<std::uint64_t>(Longest.count()));
}

ClockReading readClocks() { return {BootClock::now(), wallClockMs()}; }

/// Measures consecutive parts of a piece of work.
class LapTimer {
public:
  /// Returns the time since the last call or the construction.
  Milliseconds lap() {
    const BootInstant Now = BootClock::now();
    const Milliseconds Lap = Now - Last;
    Last = Now;
    return Lap;
  }

private:
  BootInstant Last = BootClock::now();
};

} // namespace

std::chrono::microseconds pauseAfterRound(std::size_t Workers) {
  return std::min(PausePerWorker * static_cast<std::int64_t>(Workers),
                  MaxPause);
}

TaskCoordinator::TaskCoordinator(TransactionalStore &Kv,
                                 CoordinatorSettings Settings,
                                 ConfigSource Config, Metrics &Stats)
    : Kv(Kv), Settings(Settings), Config(std::move(Config)), Stats(Stats),
      Tracker(Settings.RunTimes, Settings.Cold), Writer(Kv),
      Tombstones(Kv, Settings.StatusRetention + RemovalMargin) {}

TaskCoordinator::~TaskCoordinator() { stop(); }

void TaskCoordinator::start(CoordinatorRole &NewRole) {
  Role = &NewRole;
  Thread = std::thread([this] { run(); });
}

void TaskCoordinator::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    notifyAllSessions();
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void TaskCoordinator::onRoleChange() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  HasWork = true;
  Wake.notify_all();
}

void TaskCoordinator::onJob(std::shared_ptr<const wire::TaskJobSpec> Spec) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Current == Epoch())
    return; // The next coordinator reads all jobs from the store.
  Incoming.Jobs.push_back(std::move(Spec));
  HasWork = true;
  Wake.notify_all();
}

void TaskCoordinator::onCancel(const JobId &Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Current == Epoch())
    return;
  Incoming.Cancels.push_back({Id, BootClock::now()});
  HasWork = true;
  Wake.notify_all();
}

void TaskCoordinator::onRoleKeyChange() { onRoleChange(); }

void TaskCoordinator::run() {
  for (;;) {
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      Wake.wait_for(Lock, RoundPeriod, [&] { return Stopping || HasWork; });
      if (Stopping)
        return;
      HasWork = false;
    }
    round();
    std::unique_lock<std::mutex> Lock(Mutex);
    Wake.wait_for(Lock, pauseAfterRound(Sessions.size()),
                  [&] { return Stopping; });
  }
}

void TaskCoordinator::round() {
  const auto Term = Role->term();
  if (!Term) {
    if (Current != Epoch())
      stepDown();
    return;
  }
  if (Term->Number != Current && Current != Epoch())
    stepDown();
  if (Term->Number != Current && !takeOver(*Term)) {
    std::this_thread::sleep_for(TakeoverRetryDelay);
    return;
  }
  if (!Role->isConfirmed()) {
    Stats.count("rounds_unconfirmed");
    return;
  }
  RoundTimes Times;
  LapTimer Timer;
  // Earlier decisions must be in the store before new ones are made.
  if (!Tracker.dirty().empty() && !persist(*Term))
    return;
  Times.Write = Timer.lap();
  const BootInstant Now = BootClock::now();
  Stats.count("rounds");
  drainInbox();
  applyReports(Now);
  Times.Reports = Timer.lap();
  decide(Now);
  Times.Plan = Timer.lap();
  const bool IsWritten = persist(*Term);
  Times.Write += Timer.lap();
  if (IsWritten) {
    publish();
    recordPublishedCancels();
    if (Now - TermBegan >= SweepDelay)
      Tombstones.sweep(*Term, {Now, wallClockMs()});
  }
  Times.Publish = Timer.lap();
  recordRound(Times, Now);
  reportRunTimes(Now);
}

void TaskCoordinator::reportRunTimes(BootInstant Now) {
  recordPredictions(Tracker.runTimes(), Stats);
  if (Now - RunTimesReportedAt < RunTimeReportPeriod)
    return;
  RunTimesReportedAt = Now;
  recordSpeeds(Tracker.runTimes(), Stats);
  auto Described = describe(Tracker.runTimes());
  const std::lock_guard<std::mutex> Lock(Mutex);
  RunTimesDump = std::move(Described);
}

void TaskCoordinator::recordRound(const RoundTimes &Times, BootInstant Now) {
  const Milliseconds Total = Times.total();
  Stats.sample("round_ms", double(Total.count()));
  if (Total < SlowRound || Now - SlowRoundLoggedAt < SlowRoundLogPeriod)
    return;
  SlowRoundLoggedAt = Now;
  std::size_t Agents = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Agents = Sessions.size();
  }
  LOG4CPLUS_WARN(logOf("coordinator"),
                 LogFields("slow round")
                     .add("epoch", Current)
                     .add("total_ms", Total.count())
                     .add("reports_ms", Times.Reports.count())
                     .add("plan_ms", Times.Plan.count())
                     .add("write_ms", Times.Write.count())
                     .add("publish_ms", Times.Publish.count())
                     .add("jobs", Tracker.jobs().size())
                     .add("agents", Agents));
}

bool TaskCoordinator::takeOver(const CoordinatorTerm &Term) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Current = Term.Number;
    beginSessions(Term.Number);
  }
  const auto All = Kv.list(keys::All);
  const auto Pages =
      All && mayHavePages(All->Items)
          ? Kv.list(keys::ProgressPages)
          : All.map([](const StoreChanges &) { return StoreChanges(); });
  if (!All || !Pages) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Current = Epoch();
    HasWork = true;
    return false;
  }
  const ClockReading Now = readClocks();
  Tracker.clear();
  Tracker.beginTerm(Term.Number);
  TermBegan = Now.Boot;
  UnpublishedCancels.clear();
  NamedConfig.reset();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Services.Clear();
  }
  for (const StoreItem &Item : All->Items)
    if (Item.Key.rfind(keys::Jobs, 0) == 0)
      if (auto Spec = readStoredJob(Item))
        Tracker.addJob(std::move(Spec));
  for (const auto &[Id, Stored] : readProgress(All->Items, Pages->Items)) {
    if (Stored.IsReadable)
      Tracker.restore(Id, Stored.Progress, Stored.Revision);
    else
      Tracker.failUnreadable(Id, Stored.Revision);
  }
  for (const StoreItem &Item : All->Items)
    if (Item.Key.rfind(keys::Cancels, 0) == 0)
      Tracker.cancel(JobId(Item.Key.substr(keys::Cancels.size())), Now);
  std::size_t Known = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const NodeId &Node : Tracker.nodesWithRuns())
      Sessions[Node].GrantedAt = std::max(Sessions[Node].GrantedAt, Now.Boot);
    for (auto &[Node, Session] : Sessions) {
      Session.HasNewReport = !Session.Report.node().empty();
      Session.Orders.Clear();
      Session.PublishedOrders.clear();
      Session.OrdersAgent = 0;
      // Agents recognize the newest orders by this number across all terms.
      Session.Orders.set_revision(firstRevision(Term.Number));
    }
    Known = Sessions.size();
    Serving = Term.Number;
    HasWork = true;
  }
  LOG4CPLUS_INFO(logOf("coordinator"), LogFields("coordinating")
                                           .add("epoch", Term.Number)
                                           .add("jobs", Tracker.jobs().size())
                                           .add("agents", Known)
                                           .add("revision", All->Revision));
  return true;
}

void TaskCoordinator::stepDown() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  LOG4CPLUS_INFO(logOf("coordinator"),
                 LogFields("no longer coordinating").add("epoch", Current));
  Current = Epoch();
  Serving = Epoch();
  Tracker.clear();
  UnpublishedCancels.clear();
  Incoming = Inbox();
  notifyAllSessions();
  Sessions.clear();
}

void TaskCoordinator::drainInbox() {
  Inbox Received;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::swap(Received, Incoming);
  }
  for (auto &Spec : Received.Jobs)
    Tracker.addJob(std::move(Spec));
  for (const ReceivedCancel &Cancel : Received.Cancels) {
    Tracker.cancel(Cancel.Job, readClocks());
    UnpublishedCancels.push_back(Cancel);
  }
}

void TaskCoordinator::recordPublishedCancels() {
  const BootInstant Now = BootClock::now();
  for (const ReceivedCancel &Cancel : UnpublishedCancels) {
    const Milliseconds Waited = Now - Cancel.At;
    Stats.sample("cancel_publish_ms", double(Waited.count()));
    LOG4CPLUS_INFO(logOf("jobs"), LogFields("cancellation published")
                                      .add("job", Cancel.Job)
                                      .add("waited_ms", Waited.count()));
  }
  UnpublishedCancels.clear();
}

Milliseconds TaskCoordinator::leaseExpiry() const {
  return Milliseconds(static_cast<std::int64_t>(double(Settings.Grant.count()) /
                                                SlowestClockRate)) +
         LeaseExpiryMargin;
}

void TaskCoordinator::applyReports(BootInstant Now) {
  std::vector<std::pair<wire::TaskReport, BootInstant>> Received;
  const ClockReading Time{Now, wallClockMs()};
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::set<NodeId> Busy = Tracker.nodesWithRuns();
    for (auto &[Node, Session] : Sessions) {
      const bool HasExpired =
          Now - Session.GrantedAt > leaseExpiry() && Busy.count(Node);
      if (Session.HasNewReport) {
        Session.Capacity = capacityOf(Session.Report);
        if (Session.Report.lapsed()) {
          applyExpiry(Session, {Session.CalledAt, Time.UnixMs});
          noteApplied(Session, Session.Report);
        } else
          Received.emplace_back(Session.Report, Session.CalledAt);
      } else if (HasExpired)
        expireLeases(Node, Session, Time);
      Session.HasNewReport = false;
    }
  }
  for (const auto &[Report, ReceivedAt] : Received) {
    Tracker.applyReport(Report, {ReceivedAt, Time.UnixMs});
    const std::vector<RunName> GivenUp = Tracker.takeGivenUp();
    const std::lock_guard<std::mutex> Lock(Mutex);
    WorkerSession &Session = Sessions[NodeId(Report.node())];
    noteGivenUp(Session, GivenUp, Now);
    noteApplied(Session, Report);
  }
}

void TaskCoordinator::decide(BootInstant Now) {
  const ClockReading Time{Now, wallClockMs()};
  Tracker.finishJobs(Time);
  Tracker.moveStalledRuns(Time);
  const OperatorSnapshot Orders = Config();
  if (!Orders.Config)
    return;
  updateServices(Orders.Config);
  std::vector<wire::TaskReport> Reachable;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Milliseconds ReportTimeout =
        pollInterval(Sessions.size(), Settings.CpuShare) + ReportMargin;
    for (const auto &[Node, Session] : Sessions)
      if (Session.Report.complete() && Now - Session.CalledAt < ReportTimeout)
        Reachable.push_back(Session.Report);
  }
  Tracker.setStartRules({Orders.Evacuated, Settings.EvacuationBound});
  Tracker.plan(Reachable, *Orders.Config, Time);
  recordWaits(Tracker, Stats);
  Tracker.flushCheckpoints(Time);
  Tracker.flushBegunJobs(Time);
  recordEvacuations(Orders.Evacuated);
}

void TaskCoordinator::updateServices(
    const std::shared_ptr<const QueueConfig> &Newest) {
  const std::set<ServiceName> &OfJobs = Tracker.services();
  if (Newest == NamedConfig && OfJobs.size() == NamedJobServices)
    return;
  NamedConfig = Newest;
  NamedJobServices = OfJobs.size();
  std::set<ServiceName> Names = serviceNames(*Newest);
  Names.insert(OfJobs.begin(), OfJobs.end());
  const std::lock_guard<std::mutex> Lock(Mutex);
  Services.Clear();
  Services.set_known(true);
  for (const ServiceName &Name : Names)
    Services.add_names(Name.str());
}

void TaskCoordinator::recordEvacuations(const Evacuations &Known) {
  Stats.set("evacuated_data_centres", Known.Active.size());
  Stats.set("evacuation_runs_left", Tracker.runsInEvacuated());
  Stats.set("evacuation_runs_moved", Tracker.movedRuns());
  Stats.set("evacuation_starts_withdrawn", Tracker.withdrawnStarts());
  const std::lock_guard<std::mutex> Lock(Mutex);
  RunsInEvacuated = Tracker.runsInEvacuated();
}

bool TaskCoordinator::persist(const CoordinatorTerm &Term) {
  if (!Tracker.dirty().empty()) {
    const Instant StartedAt = monotonicNow();
    const WriteOutcome Outcome =
        Writer.write(Term, Tracker.jobs(), Tracker.dirty());
    Stats.sample("progress_write_ms",
                 double((monotonicNow() - StartedAt).count()));
    switch (Outcome) {
    case WriteOutcome::Written:
      break;
    case WriteOutcome::Retry:
      Stats.count("progress_not_written");
      return false;
    case WriteOutcome::RoleLost:
      Role->lose(Term.Number);
      return false;
    }
  }
  const std::int64_t RemoveBefore =
      wallClockMs() - (Settings.StatusRetention + RemovalMargin).count();
  for (auto Job = Tracker.jobs().begin(); Job != Tracker.jobs().end(); ++Job)
    if (Job->second.EndedMs && Job->second.EndedMs < RemoveBefore) {
      if (Writer.remove(Term, Job->first, taskCount(Job->second.spec())) ==
          WriteOutcome::Written)
        Tracker.jobs().erase(Job);
      break;
    }
  return true;
}

std::string TaskCoordinator::dump() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto Dump = makeDump();
  Dump->set("epoch", Serving.value());
  Dump->set("agents", Sessions.size());
  if (RunTimesDump)
    Dump->set("run_times", RunTimesDump);
  const Evacuations Known = Config().Evacuated;
  Dump->set("evacuated", namesOf(Known));
  Dump->set("evacuations_age_ms",
            Known.ConfirmedAt == BootInstant{}
                ? -1
                : (BootClock::now() - Known.ConfirmedAt).count());
  Dump->set("evacuation_runs_left", RunsInEvacuated);
  return dumpText(Dump);
}

} // namespace baobabcove
