#include "tasks/TaskCoordinator.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "base/StateDump.h"
#include "tasks/StoreKeys.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Rounds without news: due times, waits and leases are looked at this often.
constexpr Milliseconds Tick{100};
/// Between attempts to read the store after the role was taken.
constexpr Milliseconds TakeoverPause{150};
/// A worker whose agent has not reported for this long gets no new task; an
/// agent in touch reports twice a second.
constexpr Milliseconds InTouch{1500};
/// The slowest clock of a worker (the users' pages: 2 % slow), and the time
/// for its ends to be carried out.
constexpr double SlowestClock = 0.98;
constexpr Milliseconds LapseMargin{500};
/// Ended jobs are removed this long after they may be forgotten.
constexpr Milliseconds RemovalMargin{30000};

/// Orders are numbered anew in each term, above those of all earlier ones.
constexpr std::uint64_t RevisionsPerTerm = 1000000;

BoardTime boardNow() { return {BootClock::now(), wallClockMs()}; }

} // namespace

TaskCoordinator::TaskCoordinator(TransactionalStore &Kv,
                                 CoordinatorSettings Settings,
                                 ConfigSource Config, Metrics &Figures)
    : Kv(Kv), Settings(Settings), Config(std::move(Config)), Figures(Figures),
      Board(Settings.RemotePenalty), Writer(Kv) {}

TaskCoordinator::~TaskCoordinator() { stop(); }

void TaskCoordinator::start(CoordinatorRole &Of) {
  Role = &Of;
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
  wire::TaskOrders Refused;
  if (Stopping || !Role || !Role->term() || !Role->isConfirmed())
    return Refused;
  WorkerSession &Session = Sessions[Node];
  Session.GrantedAt = BootClock::now();
  const wire::TaskReport &Known = Session.Report;
  if (Known.agent_life() < Report.agent_life() ||
      (Known.agent_life() == Report.agent_life() &&
       Known.sequence() < Report.sequence())) {
    Session.Report = Report;
    Session.Fresh = true;
    HasWork = true;
    Wake.notify_all();
  }
  OrdersChanged.wait_until(Lock, Until, [&] {
    return Stopping ||
           (Serving != Epoch() &&
            Sessions[Node].Orders.revision() != Report.orders_seen() &&
            Sessions[Node].Orders.worker() == Report.worker());
  });
  const auto Term = Role->term();
  if (Stopping || !Term || !Role->isConfirmed())
    return Refused;
  wire::TaskOrders Reply;
  if (Serving == Term->Number &&
      Sessions[Node].Orders.worker() == Report.worker())
    Reply = Sessions[Node].Orders;
  Reply.set_coordinating(true);
  Reply.set_epoch(Term->Number.value());
  Reply.set_grant_ms(static_cast<std::uint32_t>(Settings.Grant.count()));
  return Reply;
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

void TaskCoordinator::onSeatChange() { onRoleChange(); }

void TaskCoordinator::run() {
  for (;;) {
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      Wake.wait_for(Lock, Tick, [&] { return Stopping || HasWork; });
      if (Stopping)
        return;
      HasWork = false;
    }
    round();
  }
}

void TaskCoordinator::round() {
  const auto Term = Role->term();
  if (!Term) {
    if (Current != Epoch())
      resign();
    return;
  }
  if (Term->Number != Current && !takeOver(*Term)) {
    std::this_thread::sleep_for(TakeoverPause);
    return;
  }
  if (!Role->isConfirmed())
    return;
  // Nothing is decided on before what was decided earlier is in the store.
  if (!Board.dirty().empty() && !record(*Term))
    return;
  const BootInstant Now = BootClock::now();
  Figures.count("rounds");
  takeIn();
  takeReports(Now);
  decide(Now);
  if (record(*Term))
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
  const BoardTime Now = boardNow();
  Board.clear();
  for (const StoreItem &Item : All->Items) {
    auto Spec = std::make_shared<wire::TaskJobSpec>();
    if (Item.Key.rfind(keys::Jobs, 0) == 0 && Spec->ParseFromString(Item.Value))
      Board.addJob(std::move(Spec));
  }
  for (const StoreItem &Item : All->Items) {
    wire::TaskJobProgress Stored;
    if (Item.Key.rfind(keys::Progress, 0) == 0 &&
        Stored.ParseFromString(Item.Value))
      Board.restore(JobId(Item.Key.substr(keys::Progress.size())), Stored,
                    Item.Revision);
  }
  for (const StoreItem &Item : All->Items)
    if (Item.Key.rfind(keys::Cancels, 0) == 0)
      Board.cancel(JobId(Item.Key.substr(keys::Cancels.size())), Now);
  std::size_t Known = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const NodeId &Node : Board.busyNodes())
      Sessions[Node].GrantedAt = std::max(Sessions[Node].GrantedAt, Now.Boot);
    for (auto &[Node, Session] : Sessions) {
      Session.Fresh = !Session.Report.node().empty();
      Session.Orders.Clear();
      // Agents tell the newest orders by this number, over all terms.
      Session.Orders.set_revision(Term.Number.value() * RevisionsPerTerm);
    }
    Known = Sessions.size();
    Serving = Term.Number;
    HasWork = true;
  }
  LOG4CPLUS_INFO(logOf("coordinator"), LogFields("coordinating")
                                           .add("epoch", Term.Number)
                                           .add("jobs", Board.jobs().size())
                                           .add("agents", Known)
                                           .add("revision", All->Revision));
  return true;
}

void TaskCoordinator::resign() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  LOG4CPLUS_INFO(logOf("coordinator"),
                 LogFields("no longer coordinating").add("epoch", Current));
  Current = Epoch();
  Serving = Epoch();
  Board.clear();
  Incoming = Inbox();
  Sessions.clear();
  OrdersChanged.notify_all();
}

void TaskCoordinator::takeIn() {
  Inbox News;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::swap(News, Incoming);
  }
  for (auto &Spec : News.Jobs)
    Board.addJob(std::move(Spec));
  for (const JobId &Id : News.Cancels)
    Board.cancel(Id, boardNow());
}

void TaskCoordinator::takeReports(BootInstant Now) {
  std::vector<std::pair<wire::TaskReport, BootInstant>> News;
  std::vector<NodeId> Lapsed;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::set<NodeId> Busy = Board.busyNodes();
    const auto Lapse = Milliseconds(static_cast<std::int64_t>(
                           double(Settings.Grant.count()) / SlowestClock)) +
                       LapseMargin;
    for (auto &[Node, Session] : Sessions) {
      if (Session.Fresh)
        News.emplace_back(Session.Report, Session.GrantedAt);
      else if (Now - Session.GrantedAt > Lapse && Busy.count(Node))
        Lapsed.push_back(Node);
      Session.Fresh = false;
    }
  }
  const BoardTime Time{Now, wallClockMs()};
  for (const auto &[Report, HeardAt] : News)
    Board.takeReport(Report, {HeardAt, Time.UnixMs});
  for (const NodeId &Node : Lapsed)
    Board.loseNode(Node, Time);
}

void TaskCoordinator::decide(BootInstant Now) {
  const BoardTime Time{Now, wallClockMs()};
  Board.settle(Time);
  Board.moveStalled(Time);
  const auto Rules = Config();
  if (!Rules)
    return;
  std::vector<wire::TaskReport> Open;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Node, Session] : Sessions)
      if (Session.Report.complete() && Now - Session.GrantedAt < InTouch)
        Open.push_back(Session.Report);
  }
  Board.plan(Open, *Rules, Time);
  Board.keepCheckpoints(Time);
}

bool TaskCoordinator::record(const CoordinatorTerm &Term) {
  if (!Board.dirty().empty()) {
    const Instant Began = monotonicNow();
    const WriteOutcome Outcome =
        Writer.write(Term, Board.jobs(), Board.dirty());
    Figures.sample("progress_write_ms",
                   double((monotonicNow() - Began).count()));
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
  const std::int64_t Forgotten =
      wallClockMs() - (Settings.StatusKept + RemovalMargin).count();
  for (auto Job = Board.jobs().begin(); Job != Board.jobs().end(); ++Job)
    if (Job->second.EndedMs && Job->second.EndedMs < Forgotten) {
      if (Writer.remove(Term, Job->first) == WriteOutcome::Written)
        Board.jobs().erase(Job);
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
    wire::TaskOrders Orders = Board.ordersFor(Session.Report);
    if (Session.Orders.revision() == 0)
      Session.Orders.set_revision(Serving.value() * RevisionsPerTerm);
    Orders.set_revision(Session.Orders.revision());
    if (Orders.SerializeAsString() == Session.Orders.SerializeAsString())
      continue;
    Orders.set_revision(Session.Orders.revision() + 1);
    Session.Orders = std::move(Orders);
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
