#include "tasks/TaskAgent.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "base/StateDump.h"
#include "tasks/StoreKeys.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// How long the coordinator may hold back an answer without news; also how
/// often it hears of a quiet worker.
constexpr Milliseconds AttendWait{400};
/// Beyond that wait, before the coordinator is looked up anew.
constexpr Milliseconds AttendSlack{900};
/// Between attempts to find a coordinator that does not answer.
constexpr Milliseconds SearchPause{200};
/// How long the worker may hold back a listing without an end.
constexpr Milliseconds HoldWait{400};
constexpr Milliseconds HoldRetry{100};
/// Without a listing for this long the worker's lists are not told any more.
constexpr Milliseconds ListingPatience{1500};
/// The slowest clock of a worker runs at this share of the true speed (the
/// users' pages: up to 2 % slow).
constexpr double SlowestClock = 0.98;
/// Orders that may wait; a worker has a few dozen tasks at most.
constexpr std::size_t QueuedOrders = 1024;

std::string lifeOf(const NodeId &Node, const WorkerBeat &Beat) {
  return Node.str() + "/" + Beat.Id + "#" + std::to_string(Beat.BornMs);
}

} // namespace

TaskAgent::TaskAgent(AgentSettings Settings, TransactionalStore &Kv,
                     LinkFactory Links, Metrics &Figures)
    : Settings(std::move(Settings)), Kv(Kv), Links(std::move(Links)),
      Figures(Figures), Life(static_cast<std::uint64_t>(wallClockMs())),
      Queue(QueuedOrders) {}

TaskAgent::~TaskAgent() { stop(); }

void TaskAgent::start() {
  Threads.emplace_back([this] { attendLoop(); });
  Threads.emplace_back([this] { newsLoop(); });
  Threads.emplace_back([this] { holdLoop(); });
  for (int I = 0; I < OrderThreads; ++I)
    Threads.emplace_back([this] { orderLoop(); });
}

void TaskAgent::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  News.notify_all();
  Changed.notify_all();
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

void TaskAgent::beat(const WorkerBeat &Beat) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Worker && (Beat.BornMs < Worker->BornMs ||
                 (Beat.Id == Worker->Id && Beat.BornMs == Worker->BornMs &&
                  Beat.Sequence <= Worker->Sequence)))
    return;
  const bool Drains = Beat.Draining && !(Worker && Worker->Draining);
  const std::string Name = lifeOf(Settings.Node, Beat);
  const bool Begins = Name != WorkerName;
  Worker = Beat;
  if (Begins) {
    LOG4CPLUS_INFO(logOf("worker"),
                   LogFields("worker announced")
                       .add("worker", Name)
                       .add("was", WorkerName)
                       .add("address", Beat.Address)
                       .add("rack", Beat.Rack)
                       .add("accelerators", Beat.Accelerators));
    forgetWorker();
    WorkerName = Name;
    Link = std::shared_ptr<WorkerLink>(Links(Beat));
  }
  if (Drains)
    LOG4CPLUS_INFO(logOf("worker"),
                   LogFields("worker drains")
                       .add("worker", Name)
                       .add("remaining_ms", Beat.Remaining.count()));
  if (Begins || Drains) {
    HasNews = true;
    News.notify_all();
    Changed.notify_all();
  }
}

void TaskAgent::leave(const std::string &Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Worker || Worker->Id != Id)
    return;
  LOG4CPLUS_INFO(logOf("worker"),
                 LogFields("worker left").add("worker", WorkerName));
  forgetWorker();
  Link.reset();
  // Nothing runs where there is no worker, which is told like a life of its
  // own, so that the runs of the last one are taken for ended.
  Worker->Draining = true;
  WorkerName = Settings.Node.str() + "/none#" + std::to_string(++WorkersGone);
  Listed = true;
  ListedAt = BootInstant::max();
  HasNews = true;
  News.notify_all();
}

void TaskAgent::forgetWorker() {
  Running.clear();
  Ends.clear();
  Ledger.clear();
  Orders.Clear();
  Listed = false;
  WorkerClockAt = BootInstant{};
  LeaseUntil = BootInstant{};
}

void TaskAgent::attendLoop() {
  for (;;) {
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
      if (Coordinator.empty()) {
        Lock.unlock();
        const bool Found = findCoordinator();
        Lock.lock();
        if (!Found) {
          Changed.wait_for(Lock, SearchPause, [&] { return Stopping; });
          continue;
        }
      }
    }
    if (!exchange(AttendWait)) {
      std::unique_lock<std::mutex> Lock(Mutex);
      Changed.wait_for(Lock, SearchPause, [&] { return Stopping; });
    }
  }
}

void TaskAgent::newsLoop() {
  for (;;) {
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      News.wait(Lock, [&] { return Stopping || HasNews; });
      if (Stopping)
        return;
      HasNews = false;
    }
    exchange(Milliseconds(0));
  }
}

bool TaskAgent::findCoordinator() {
  const auto Item = Kv.read(keys::Coordinator);
  if (!Item || !*Item)
    return false;
  // "NODE ADDRESS NONCE"
  const std::string &Value = (*Item)->Value;
  const auto Begin = Value.find(' ');
  const auto End = Value.find(' ', Begin + 1);
  if (Begin == std::string::npos || End == std::string::npos)
    return false;
  const std::lock_guard<std::mutex> Lock(Mutex);
  Coordinator = Value.substr(Begin + 1, End - Begin - 1);
  LOG4CPLUS_INFO(logOf("coordinator"), LogFields("coordinator found")
                                           .add("node", Value.substr(0, Begin))
                                           .add("address", Coordinator)
                                           .add("revision", (*Item)->Revision));
  return true;
}

bool TaskAgent::exchange(Milliseconds Wait) {
  std::string Address;
  wire::TaskReport Report;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Address = Coordinator;
    if (Address.empty())
      return false;
    Report = report(Wait);
  }
  const BootInstant SentAt = BootClock::now();
  const auto Answer = Peers.attend(Address, Report, Wait + AttendSlack);
  if (Answer && Answer->coordinating()) {
    takeOrders(*Answer, SentAt);
    return true;
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Coordinator != Address)
    return false;
  LOG4CPLUS_WARN(logOf("coordinator"),
                 LogFields("coordinator lost")
                     .add("address", Address)
                     .add("epoch", Term)
                     .add("why", Answer ? "does not hold the role"
                                        : Answer.error().Detail));
  Peers.forget(Address);
  Coordinator.clear();
  return false;
}

wire::TaskReport TaskAgent::report(Milliseconds Wait) {
  const BootInstant Now = BootClock::now();
  wire::TaskReport Report;
  Report.set_node(Settings.Node.str());
  Report.set_data_centre(Settings.DataCentre.str());
  Report.set_agent_life(Life);
  Report.set_sequence(++Sequence);
  Report.set_wait_ms(static_cast<std::uint32_t>(Wait.count()));
  Report.set_orders_seen(Orders.revision());
  Report.set_worker(WorkerName);
  if (!Worker)
    return Report;
  Report.set_service(Worker->Service.str());
  Report.set_milli_cores(Worker->MilliCores);
  Report.set_memory_mb(Worker->MemoryMb);
  Report.set_accelerators(Worker->Accelerators);
  for (const std::string &Label : Worker->Labels)
    Report.add_labels(Label);
  Report.set_rack(Worker->Rack.str());
  Report.set_draining(Worker->Draining);
  Report.set_remaining_ms(Worker->Remaining.count());
  Report.set_complete(Listed && (ListedAt == BootInstant::max() ||
                                 Now - ListedAt < ListingPatience));
  Report.set_lapsed(!Report.complete() && LeaseUntil != BootInstant{} &&
                    Now > LeaseUntil);
  *Report.mutable_running() = {Running.begin(), Running.end()};
  *Report.mutable_ends() = {Ends.begin(), Ends.end()};
  for (wire::RunRefusal &Refusal : Ledger.refusals())
    *Report.add_refusals() = std::move(Refusal);
  return Report;
}

void TaskAgent::takeOrders(const wire::TaskOrders &Given, BootInstant SentAt) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Epoch(Given.epoch()) < Term)
    return;
  if (Epoch(Given.epoch()) != Term) {
    LOG4CPLUS_INFO(
        logOf("coordinator"),
        LogFields("new term").add("epoch", Given.epoch()).add("was", Term));
    Term = Epoch(Given.epoch());
    Changed.notify_all();
  }
  GrantedUntil =
      std::max(GrantedUntil, SentAt + Milliseconds(Given.grant_ms()));
  if (Given.worker() != WorkerName || WorkerName.empty() ||
      Given.revision() <= Orders.revision())
    return;
  Orders = Given;
  queueOrders();
}

void TaskAgent::queueOrders() {
  for (const auto &[Run, Stop] : Ledger.take(Orders, BootClock::now())) {
    if (!Link)
      Ledger.barred(Run);
    else if (!Queue.tryPush({Stop, Run.first, Run.second}))
      Ledger.stopFailed(Run, BootClock::now());
    HasNews = HasNews || !Link;
  }
  if (HasNews)
    News.notify_all();
}

bool TaskAgent::knowsClock() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return WorkerClockAt != BootInstant{};
}

TaskAgent::Call TaskAgent::prepareCall() {
  Call Next;
  Next.Link = Link;
  Next.Life = WorkerName;
  Next.Term = Term;
  Next.Acknowledged = Orders.acknowledged_end();
  const BootInstant Now = BootClock::now();
  if (WorkerClockAt != BootInstant{} && GrantedUntil > Now) {
    const auto Left = double((GrantedUntil - WorkerClockAt).count());
    Next.Deadline =
        WorkerClock +
        Milliseconds(static_cast<std::int64_t>(Left * SlowestClock));
    LeaseUntil = std::max(LeaseUntil, GrantedUntil);
  }
  return Next;
}

void TaskAgent::holdLoop() {
  for (;;) {
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      Changed.wait(Lock, [&] { return Stopping || (Link && Term != Epoch()); });
      if (Stopping)
        return;
    }
    if (!list(HoldWait)) {
      std::unique_lock<std::mutex> Lock(Mutex);
      Changed.wait_for(Lock, HoldRetry, [&] { return Stopping; });
    }
  }
}

bool TaskAgent::list(Milliseconds Wait) {
  Call Of;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Of = prepareCall();
    // The first listing tells the worker's clock and must not wait.
    if (WorkerClockAt == BootInstant{})
      Wait = Milliseconds(0);
  }
  if (!Of.Link)
    return false;
  const BootInstant AskedAt = BootClock::now();
  const auto Runs = Of.Link->hold(Of.Deadline, Of.Acknowledged, Wait, Of.Term);
  const BootInstant Now = BootClock::now();
  if (!Runs) {
    Figures.count("listing_failures");
    return false;
  }
  takeRuns(Of, *Runs, AskedAt, Now);
  return true;
}

void TaskAgent::takeRuns(const Call &Of, const WorkerRuns &Runs,
                         BootInstant AskedAt, BootInstant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Of.Life != WorkerName || !Worker ||
      (Runs.BornMs && Worker->BornMs && Runs.BornMs != Worker->BornMs))
    return;
  std::set<RunId> Known;
  for (const wire::RunStatus &Run : Runs.Running)
    Known.insert({Run.task(), Run.run()});
  for (const wire::RunEnd &End : Runs.Ends)
    Known.insert({End.task(), End.run()});
  std::set<RunId> Before;
  for (const wire::RunStatus &Run : Running)
    Before.insert({Run.task(), Run.run()});
  bool Fresh = !Listed;
  for (const wire::RunStatus &Run : Runs.Running)
    Fresh = Fresh || !Before.count({Run.task(), Run.run()});
  const std::uint64_t LastEnd = Ends.empty() ? 0 : Ends.back().number();
  Fresh = Fresh || (!Runs.Ends.empty() && Runs.Ends.back().number() > LastEnd);
  // Listings may overtake each other; the ends of an older one are fewer.
  if (AskedAt < ListedAt && Listed && ListedAt != BootInstant::max() && !Fresh)
    return;
  Running = Runs.Running;
  Ends = Runs.Ends;
  Listed = true;
  ListedAt = Now;
  WorkerClock = Runs.Clock;
  WorkerClockAt = Now;
  Fresh = Ledger.takeListing(Known, AskedAt) || Fresh;
  queueOrders();
  if (Fresh) {
    HasNews = true;
    News.notify_all();
  }
}

std::string TaskAgent::dump() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto Dump = makeDump();
  Dump->set("worker", WorkerName);
  Dump->set("coordinator", Coordinator);
  Dump->set("epoch", Term.value());
  Dump->set("running", Running.size());
  Dump->set("ends", Ends.size());
  return dumpText(Dump);
}

} // namespace baobabcove
