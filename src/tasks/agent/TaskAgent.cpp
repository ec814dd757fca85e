#include "tasks/agent/TaskAgent.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "base/StateDump.h"
#include "tasks/StoreKeys.h"
#include "tasks/agent/ReportParts.h"

#include <algorithm>
#include <random>

namespace baobabcove {

namespace {

/// How long the coordinator may hold a poll without new orders, unless it says
/// otherwise, and therefore the report period of an idle worker.
constexpr Milliseconds DefaultPollWait{400};
constexpr Milliseconds MaxPollWait{1000};
/// Time beyond that wait before the call times out and the coordinator is
/// looked up again.
constexpr Milliseconds AttendTimeoutMargin{900};
/// Delay between attempts to find a reachable coordinator.
constexpr Milliseconds CoordinatorSearchDelay{200};
/// Longest time that the worker may hold a listing without a new end.
constexpr Milliseconds ListingWait{400};
constexpr Milliseconds ListingRetryDelay{100};
/// Failed listings in a row that are repeated without that delay: if the worker
/// has started again and one answer is lost, the next one tells it.
constexpr int ListingRetriesAtOnce = 2;
/// Longest wait for the acknowledgement of an end before the next listing.
constexpr Milliseconds AcknowledgementWait{50};
/// Runs are reported only if the last listing is younger than this.
constexpr Milliseconds ListingTimeout{1500};
/// Lowest rate of a worker's clock relative to real time; the platform allows
/// clocks that are up to 2 % slow.
constexpr double SlowestClockRate = 0.98;
/// Capacity of the order queue. Orders for which there is no room wait in the
/// tracker and are queued after a later listing.
constexpr std::size_t MaxQueuedOrders = 1024;

std::uint64_t uniqueIncarnation() {
  std::random_device Source;
  std::uniform_int_distribution<std::uint64_t> Any(1);
  return Any(Source);
}

} // namespace

TaskAgent::TaskAgent(AgentSettings Settings, TransactionalStore &Kv,
                     LinkFactory Links, Metrics &Stats)
    : Settings(std::move(Settings)), Kv(Kv), Links(std::move(Links)),
      Stats(Stats), StartedAtMs(static_cast<std::uint64_t>(wallClockMs())),
      Incarnation(uniqueIncarnation()), PollWait(DefaultPollWait),
      Queue(MaxQueuedOrders) {}

TaskAgent::~TaskAgent() { stop(); }

void TaskAgent::start() {
  Threads.emplace_back([this] { attendLoop(); });
  Threads.emplace_back([this] { reportLoop(); });
  Threads.emplace_back([this] { listLoop(); });
  Threads.emplace_back([this] { candidateLoop(); });
  for (int I = 0; I < OrderThreads; ++I)
    Threads.emplace_back([this] { orderLoop(); });
}

void TaskAgent::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  ReportNeeded.notify_all();
  StateChanged.notify_all();
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

void TaskAgent::attendLoop() {
  for (;;) {
    Milliseconds Wait{0};
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
      Wait = PollWait;
      if (Coordinator.empty()) {
        Lock.unlock();
        const bool Found = findCoordinator();
        Lock.lock();
        if (!Found) {
          StateChanged.wait_for(Lock, CoordinatorSearchDelay,
                                [&] { return Stopping; });
          continue;
        }
      }
    }
    if (!exchange(Wait)) {
      std::unique_lock<std::mutex> Lock(Mutex);
      StateChanged.wait_for(Lock, CoordinatorSearchDelay,
                            [&] { return Stopping; });
    }
  }
}

void TaskAgent::reportLoop() {
  for (;;) {
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      ReportNeeded.wait(Lock, [&] { return Stopping || ReportPending; });
      if (Stopping)
        return;
      ReportPending = false;
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
  const auto Answer = Peers.attend(Address, Report, Wait + AttendTimeoutMargin);
  if (Answer && Answer->coordinating()) {
    applyOrders(*Answer, SentAt);
    return true;
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Coordinator != Address)
    return false;
  LOG4CPLUS_WARN(
      logOf("coordinator"),
      LogFields("coordinator lost")
          .add("address", Address)
          .add("epoch", Term)
          .add("why", Answer ? "process does not hold the coordinator role"
                             : Answer.error().Detail));
  Peers.forget(Address);
  Coordinator.clear();
  PollWait = DefaultPollWait;
  return false;
}

wire::TaskReport TaskAgent::report(Milliseconds Wait) {
  const BootInstant Now = BootClock::now();
  wire::TaskReport Report;
  Report.set_node(Settings.Node.str());
  Report.set_data_centre(Settings.DataCentre.str());
  Report.set_agent_life(StartedAtMs);
  Report.set_agent_incarnation(Incarnation);
  Report.set_agent_session(Session);
  Report.set_sequence(++Sequence);
  Report.set_wait_ms(static_cast<std::uint32_t>(Wait.count()));
  Report.set_orders_seen(Orders.revision());
  Report.set_worker(WorkerName.str());
  Report.set_left_worker(LeftWorker.str());
  Report.set_lost_worker(LostWorker.str());
  Report.set_lost_runs_complete(AreLostRunsComplete);
  addLostRuns(Report, LostRuns);
  Report.set_complete(Listed && (ListedAt == BootInstant::max() ||
                                 Now - ListedAt < ListingTimeout));
  Report.set_lapsed(!Report.complete() && Lease.hasExpired(Now));
  if (Report.lapsed()) {
    voidStarts("leases expired");
    Report.set_lapsed_epoch(Term.value());
    Report.set_lapsed_revision(Orders.revision());
    Lease.awaitApplied(Sequence);
  }
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
  Report.set_cold_for_ms(std::max(ColdUntil - Now, Milliseconds(0)).count());
  addRunning(Report);
  addEnds(Report, Ends);
  addRefusals(Report, RunOrders.refusals());
  return Report;
}

void TaskAgent::addRunning(wire::TaskReport &Report) {
  NextRunning = addRunsFrom(Report, Running, NextRunning);
}

void TaskAgent::applyOrders(const wire::TaskOrders &NewOrders,
                            BootInstant SentAt) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Epoch(NewOrders.epoch()) < Term)
    return;
  if (Epoch(NewOrders.epoch()) != Term) {
    LOG4CPLUS_INFO(logOf("coordinator"), LogFields("new coordinator term")
                                             .add("epoch", NewOrders.epoch())
                                             .add("was", Term));
    Term = Epoch(NewOrders.epoch());
    StateChanged.notify_all();
  }
  Candidates.applyServices(NewOrders);
  if (Candidates.size() > 0)
    StateChanged.notify_all();
  if (NewOrders.poll_ms())
    PollWait = std::min(Milliseconds(NewOrders.poll_ms()), MaxPollWait);
  if (NewOrders.agent_session() && NewOrders.agent_session() != Session) {
    Session = NewOrders.agent_session();
    ReportPending = true;
    ReportNeeded.notify_all();
  }
  const BootInstant Now = BootClock::now();
  for (const wire::RunKey &Run : NewOrders.bars()) {
    Late.addNamed({Run.task(), Run.run()}, Now);
    Lease.requireBar({Run.task(), Run.run()});
  }
  // Coordinators of an earlier release do not tell what they have applied.
  Lease.noteApplied(NewOrders.has_applied_sequence()
                        ? NewOrders.applied_sequence()
                        : Sequence);
  // The coordinator may have given up the runs of earlier orders meanwhile.
  if (Lease.hasGrantRunOut(Now))
    voidStarts("grant ran out");
  const auto Held = Milliseconds(static_cast<std::int64_t>(
      double(NewOrders.held_ms()) * SlowestClockRate));
  // So may it have given up those of an answer that arrives after its grant.
  if (!Lease.grant(SentAt + Held + Milliseconds(NewOrders.grant_ms()), Now))
    return;
  Limit.apply(NewOrders, SentAt);
  queueHeldStarts();
  queueOrders();
  if (NewOrders.worker() != WorkerName.str() || WorkerName.str().empty() ||
      NewOrders.revision() <= Orders.revision())
    return;
  Orders = NewOrders;
  StateChanged.notify_all();
  queueOrders();
}

void TaskAgent::queueOrders() {
  const BootInstant Now = BootClock::now();
  for (const auto &[Run, Stop] : RunOrders.update(Orders, Now)) {
    const bool MayStartLate = awaitsSameId(Now) && Late.isUnanswered(Run, Now);
    if (!Link && !MayStartLate) {
      RunOrders.markBarred(Run);
      ReportPending = true;
    } else if (!Link || !Queue.tryPush({Stop, Run.first, Run.second}))
      RunOrders.postpone(Run);
  }
  for (const RunId &Run : Lease.barsToSend())
    if (!Link || !Queue.tryPush({true, Run.first, Run.second}))
      Lease.noteBarFailed(Run);
  if (ReportPending)
    ReportNeeded.notify_all();
}

bool TaskAgent::hasWorkerClock() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return WorkerClockAt != BootInstant{};
}

TaskAgent::WorkerCall TaskAgent::prepareCall() {
  WorkerCall Next;
  Next.Link = Link;
  Next.Incarnation = WorkerName;
  Next.Term = Term;
  // Not repeated once the worker has forgotten the ends: a call that is carried
  // out by the next incarnation would discard ends of that one.
  if (!Ends.empty() && Ends.front().number() <= Orders.acknowledged_end())
    Next.Acknowledged = Orders.acknowledged_end();
  const BootInstant Now = BootClock::now();
  // The lease of a worker that does not answer is not extended: while it is,
  // the runs of a worker that is lost for good can never be started elsewhere.
  const bool Answers = Now - ListedAt < ListingTimeout;
  Lease.checkExpiry(Now);
  if (WorkerClockAt == BootInstant{} || !Answers)
    return Next;
  const BootInstant Until = Lease.extend(Now);
  if (Until != BootInstant{})
    Next.Deadline =
        WorkerClock +
        Milliseconds(static_cast<std::int64_t>(
            double((Until - WorkerClockAt).count()) * SlowestClockRate));
  return Next;
}

void TaskAgent::listLoop() {
  int FailedListings = 0;
  for (;;) {
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      StateChanged.wait(Lock,
                        [&] { return Stopping || (Link && Term != Epoch()); });
      if (Stopping)
        return;
    }
    const bool IsListed = listRuns(ListingWait);
    std::unique_lock<std::mutex> Lock(Mutex);
    FailedListings = IsListed ? 0 : FailedListings + 1;
    if (!IsListed) {
      if (FailedListings > ListingRetriesAtOnce || Liveness.refuses())
        StateChanged.wait_for(Lock, ListingRetryDelay,
                              [&] { return Stopping; });
    } else
      // The worker answers at once while it has ends that are not acknowledged.
      StateChanged.wait_for(Lock, AcknowledgementWait, [&] {
        return Stopping || Ends.empty() ||
               Ends.back().number() <= Orders.acknowledged_end();
      });
  }
}

bool TaskAgent::listRuns(Milliseconds Wait) {
  WorkerCall Request;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Request = prepareCall();
    // The first listing provides the worker's clock and must not wait.
    if (WorkerClockAt == BootInstant{})
      Wait = Milliseconds(0);
  }
  if (!Request.Link)
    return false;
  const BootInstant RequestedAt = BootClock::now();
  const auto Listing = Request.Link->renewAndList(
      Request.Deadline, Request.Acknowledged, Wait, Request.Term);
  const BootInstant Now = BootClock::now();
  if (!Listing) {
    noteListingFailure(Request, Listing.error());
    return false;
  }
  applyListing(Request, *Listing, RequestedAt, Now);
  return true;
}

void TaskAgent::noteListingFailure(const WorkerCall &Request,
                                   const Error &Failure) {
  Stats.count("listing_failures");
  const bool IsListening = Request.Link->isListening();
  const BootInstant Now = BootClock::now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Request.Incarnation != WorkerName)
    return;
  if (Liveness.answers()) {
    const auto LeaseLeft = Lease.remaining(Now);
    LOG4CPLUS_WARN(logOf("worker"),
                   LogFields("worker does not answer")
                       .add("worker", WorkerName)
                       .add("running", Running.size())
                       .add("lease_left_ms", LeaseLeft.count())
                       .add("acknowledged", Request.Acknowledged)
                       .add("listening", IsListening)
                       .add("why", Failure.Detail));
  }
  if (Failure.Code == ResultCode::WorkerReplaced) {
    departWorker("another worker answers at its address");
    return;
  }
  if (IsListening)
    Liveness.noteSilence();
  else
    Liveness.noteRefusal(Now);
  // A worker that has announced its end stops listening only when it ends.
  if (Liveness.hasEnded(Now) || (IsEndAnnounced && Liveness.refuses()))
    departWorker("its host refuses connections");
}

void TaskAgent::applyListing(const WorkerCall &Request,
                             const WorkerRuns &Listing, BootInstant RequestedAt,
                             BootInstant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Request.Incarnation != WorkerName || !Worker)
    return;
  if (Listing.StartedAtMs != Worker->StartedAtMs) {
    // A list without a start time says nothing about the worker.
    if (Listing.StartedAtMs != 0)
      adoptRestarted(Listing.StartedAtMs);
    return;
  }
  if (!Liveness.answers())
    LOG4CPLUS_INFO(logOf("worker"), LogFields("worker answers again")
                                        .add("worker", WorkerName)
                                        .add("running", Listing.Running.size())
                                        .add("ends", Listing.Ends.size()));
  Liveness.noteAnswer();
  std::set<RunId> Known;
  for (const wire::RunStatus &Run : Listing.Running)
    Known.insert({Run.task(), Run.run()});
  for (const wire::RunEnd &End : Listing.Ends) {
    Known.insert({End.task(), End.run()});
    StartsSent.erase({End.task(), End.run()});
  }
  std::set<RunId> Previous;
  for (const wire::RunStatus &Run : Running)
    Previous.insert({Run.task(), Run.run()});
  bool HasNews = !Listed;
  for (const wire::RunStatus &Run : Listing.Running)
    HasNews = HasNews || !Previous.count({Run.task(), Run.run()});
  const std::uint64_t LastEnd = Ends.empty() ? 0 : Ends.back().number();
  HasNews = HasNews ||
            (!Listing.Ends.empty() && Listing.Ends.back().number() > LastEnd);
  // Listings can arrive out of order; an older one contains fewer ends.
  const bool IsOvertaken =
      RequestedAt < ListedAt && Listed && ListedAt != BootInstant::max();
  if (!IsOvertaken || HasNews) {
    Running = Listing.Running;
    Ends = Listing.Ends;
    Listed = true;
    ListedAt = Now;
    WorkerClock = Listing.Clock;
    WorkerClockAt = Now;
  }
  // What an overtaken listing says about orders that the worker answered before
  // it still holds.
  const bool MayLackEnds = Listing.Ends.size() >= MaxListedEnds;
  HasNews = RunOrders.applyListing(Known, RequestedAt, MayLackEnds) || HasNews;
  std::set<RunId> Sent = Late.reaching(Worker->Id, Now);
  Sent.insert(StartsSent.begin(), StartsSent.end());
  // An earlier agent may have sent these.
  const std::set<RunId> Unresolved = RunOrders.unresolved();
  Sent.insert(Unresolved.begin(), Unresolved.end());
  Lease.applyListing(RequestedAt, Known, Sent);
  queueOrders();
  if (HasNews) {
    ReportPending = true;
    ReportNeeded.notify_all();
  }
}

std::string TaskAgent::dump() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto Dump = makeDump();
  Dump->set("worker", WorkerName.str());
  Dump->set("coordinator", Coordinator);
  Dump->set("epoch", Term.value());
  Dump->set("candidates", Candidates.size());
  Dump->set("running", Running.size());
  Dump->set("ends", Ends.size());
  Dump->set("starts_held", Limit.held());
  return dumpText(Dump);
}

} // namespace baobabcove
