#include "tasks/TaskCoordinator.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "base/StateDump.h"
#include "tasks/StoreKeys.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Longest time between rounds; due times, waits and leases are checked this
/// often.
constexpr Milliseconds RoundPeriod{100};
/// Pause after each round, for each worker. Every report asks for a round, and
/// a round looks at every worker; without a pause the work would grow with
/// their product. Reports that arrive meanwhile share the next round.
constexpr std::chrono::microseconds PausePerWorker{100};
constexpr std::chrono::microseconds MaxPause{50000};
/// Delay between attempts to read the store after the role was acquired.
constexpr Milliseconds TakeoverRetryDelay{150};
/// A worker whose agent has not reported for this long gets no new task; a
/// reachable agent reports twice a second.
constexpr Milliseconds ReportTimeout{1500};
/// Lowest rate of a worker's clock relative to real time (the platform allows
/// clocks that are 2 % slow), and the time that a worker takes to end runs
/// whose lease expired.
constexpr double SlowestClockRate = 0.98;
constexpr Milliseconds LeaseExpiryMargin{500};
/// Ended jobs are removed this long after the end of their retention period.
constexpr Milliseconds RemovalMargin{30000};

/// Order revisions of each term start above those of all earlier terms.
constexpr std::uint64_t RevisionsPerTerm = 1000000;

ClockReading readClocks() { return {BootClock::now(), wallClockMs()}; }

} // namespace

std::chrono::microseconds pauseAfterRound(std::size_t Workers) {
  return std::min(PausePerWorker * static_cast<std::int64_t>(Workers),
                  MaxPause);
}

TaskCoordinator::TaskCoordinator(TransactionalStore &Kv,
                                 CoordinatorSettings Settings,
                                 ConfigSource Config, Metrics &Stats)
    : Kv(Kv), Settings(Settings), Config(std::move(Config)), Stats(Stats),
      Tracker(Settings.RemotePenalty), Writer(Kv) {}

TaskCoordinator::~TaskCoordinator() { stop(); }

void TaskCoordinator::start(CoordinatorRole &NewRole) {
  Role = &NewRole;
  Thread = std::thread([this] { run(); });
}

void TaskCoordinator::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  OrdersChanged.notify_all();
  if (Thread.joinable())
    Thread.join();
}

wire::TaskOrders TaskCoordinator::attend(const wire::TaskReport &Report) {
  const NodeId Node(Report.node());
  const Instant Until = monotonicNow() + Milliseconds(Report.wait_ms());
  std::unique_lock<std::mutex> Lock(Mutex);
  wire::TaskOrders NotCoordinating;
  if (Stopping || !Role || !Role->term() || !Role->isConfirmed())
    return NotCoordinating;
  WorkerSession &Session = Sessions[Node];
  Session.GrantedAt = BootClock::now();
  const wire::TaskReport &Known = Session.Report;
  if (Known.agent_life() < Report.agent_life() ||
      (Known.agent_life() == Report.agent_life() &&
       Known.sequence() < Report.sequence())) {
    Session.Report = Report;
    Session.HasNewReport = true;
    HasWork = true;
    Wake.notify_all();
  }
  OrdersChanged.wait_until(Lock, Until, [&] {
    return Stopping ||
           (Serving != Epoch() &&
            Sessions[Node].Orders.revision() != Report.orders_seen() &&
            areOrdersFor(Sessions[Node], Report));
  });
  const auto Term = Role->term();
  if (Stopping || !Term || !Role->isConfirmed())
    return NotCoordinating;
  wire::TaskOrders Reply;
  if (Serving == Term->Number && areOrdersFor(Sessions[Node], Report))
    Reply = Sessions[Node].Orders;
  Reply.set_coordinating(true);
  Reply.set_epoch(Term->Number.value());
  Reply.set_grant_ms(static_cast<std::uint32_t>(Settings.Grant.count()));
  return Reply;
}

bool TaskCoordinator::areOrdersFor(const WorkerSession &Session,
                                   const wire::TaskReport &Report) {
  return Session.Orders.worker() == Report.worker() &&
         !isLessInAnyPart(capacityOf(Report), Session.OrdersCapacity);
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
  Incoming.Cancels.push_back(Id);
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
  if (Term->Number != Current && !takeOver(*Term)) {
    std::this_thread::sleep_for(TakeoverRetryDelay);
    return;
  }
  if (!Role->isConfirmed())
    return;
  // Earlier decisions must be in the store before new ones are made.
  if (!Tracker.dirty().empty() && !persist(*Term))
    return;
  const BootInstant Now = BootClock::now();
  Stats.count("rounds");
  drainInbox();
  applyReports(Now);
  decide(Now);
  if (persist(*Term))
    publish();
}

bool TaskCoordinator::takeOver(const CoordinatorTerm &Term) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Current = Term.Number;
  }
  const auto All = Kv.list(keys::All);
  if (!All) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Current = Epoch();
    HasWork = true;
    return false;
  }
  const ClockReading Now = readClocks();
  Tracker.clear();
  for (const StoreItem &Item : All->Items) {
    auto Spec = std::make_shared<wire::TaskJobSpec>();
    if (Item.Key.rfind(keys::Jobs, 0) == 0 && Spec->ParseFromString(Item.Value))
      Tracker.addJob(std::move(Spec));
  }
  for (const StoreItem &Item : All->Items) {
    wire::TaskJobProgress Stored;
    if (Item.Key.rfind(keys::Progress, 0) == 0 &&
        Stored.ParseFromString(Item.Value))
      Tracker.restore(JobId(Item.Key.substr(keys::Progress.size())), Stored,
                      Item.Revision);
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
      // Agents recognize the newest orders by this number across all terms.
      Session.Orders.set_revision(Term.Number.value() * RevisionsPerTerm);
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
  Incoming = Inbox();
  Sessions.clear();
  OrdersChanged.notify_all();
}

void TaskCoordinator::drainInbox() {
  Inbox Received;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::swap(Received, Incoming);
  }
  for (auto &Spec : Received.Jobs)
    Tracker.addJob(std::move(Spec));
  for (const JobId &Id : Received.Cancels)
    Tracker.cancel(Id, readClocks());
}

void TaskCoordinator::applyReports(BootInstant Now) {
  std::vector<std::pair<wire::TaskReport, BootInstant>> Received;
  std::vector<NodeId> Expired;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::set<NodeId> Busy = Tracker.nodesWithRuns();
    const auto LeaseExpiry =
        Milliseconds(static_cast<std::int64_t>(double(Settings.Grant.count()) /
                                               SlowestClockRate)) +
        LeaseExpiryMargin;
    for (auto &[Node, Session] : Sessions) {
      if (Session.HasNewReport) {
        Received.emplace_back(Session.Report, Session.GrantedAt);
        Session.Capacity = capacityOf(Session.Report);
      } else if (Now - Session.GrantedAt > LeaseExpiry && Busy.count(Node))
        Expired.push_back(Node);
      Session.HasNewReport = false;
    }
  }
  const ClockReading Time{Now, wallClockMs()};
  for (const auto &[Report, ReceivedAt] : Received)
    Tracker.applyReport(Report, {ReceivedAt, Time.UnixMs});
  for (const NodeId &Node : Expired)
    Tracker.expireLeases(Node, Time);
}

void TaskCoordinator::decide(BootInstant Now) {
  const ClockReading Time{Now, wallClockMs()};
  Tracker.finishJobs(Time);
  Tracker.moveStalledRuns(Time);
  const auto Rules = Config();
  if (!Rules)
    return;
  std::vector<wire::TaskReport> Reachable;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Node, Session] : Sessions)
      if (Session.Report.complete() && Now - Session.GrantedAt < ReportTimeout)
        Reachable.push_back(Session.Report);
  }
  Tracker.plan(Reachable, *Rules, Time);
  Tracker.flushCheckpoints(Time);
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
      return false;
    case WriteOutcome::RoleLost:
      Role->lose();
      return false;
    }
  }
  const std::int64_t RemoveBefore =
      wallClockMs() - (Settings.StatusRetention + RemovalMargin).count();
  for (auto Job = Tracker.jobs().begin(); Job != Tracker.jobs().end(); ++Job)
    if (Job->second.EndedMs && Job->second.EndedMs < RemoveBefore) {
      if (Writer.remove(Term, Job->first) == WriteOutcome::Written)
        Tracker.jobs().erase(Job);
      break;
    }
  return true;
}

void TaskCoordinator::publish() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  bool Changed = false;
  for (auto &[Node, Session] : Sessions) {
    if (Session.Report.node().empty())
      continue;
    Session.OrdersCapacity = Session.Capacity;
    wire::TaskOrders Orders = Tracker.ordersFor(Session.Report);
    std::string Serialized = Orders.SerializeAsString();
    if (Serialized == Session.PublishedOrders)
      continue;
    const std::uint64_t Last =
        std::max(Session.Orders.revision(), Serving.value() * RevisionsPerTerm);
    Orders.set_revision(Last + 1);
    Session.Orders = std::move(Orders);
    Session.PublishedOrders = std::move(Serialized);
    Changed = true;
  }
  if (Changed)
    OrdersChanged.notify_all();
}

std::string TaskCoordinator::dump() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto Dump = makeDump();
  Dump->set("epoch", Serving.value());
  Dump->set("agents", Sessions.size());
  return dumpText(Dump);
}

} // namespace baobabcove
