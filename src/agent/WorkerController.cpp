#include "agent/WorkerController.h"

#include "base/Log.h"
#include "base/Parallel.h"

namespace baobabcove {

namespace {

constexpr Milliseconds SupervisePeriod{100};
constexpr Milliseconds LeadPollPeriod{20};
constexpr Milliseconds ArmPollPeriod{50};
constexpr Milliseconds RenewTimeout{800};
constexpr Milliseconds StopTimeout{2000};
constexpr std::size_t MaxParallelCalls = 16;
constexpr std::size_t MaxQueuedStops = 256;
/// Renewal rounds within one lease duration.
constexpr int RenewalsPerLease = 5;

void setCode(wire::CommandReply &Reply, ResultCode Code) {
  Reply.set_code(static_cast<std::uint32_t>(Code));
}

WorkerSize sizeOf(const Settings &Options) {
  return {Options.Accelerators, Options.Cores, Options.MemoryMb};
}

} // namespace

WorkerController::WorkerController(const Settings &Options,
                                   const StateCharts &Charts,
                                   std::unique_ptr<WorkerClient> Worker,
                                   RpcPeers &Peers, Metrics &Stats,
                                   std::function<void()> OnChange)
    : Self(Options.Node), Size(sizeOf(Options)), Lease(Options.GangLeaseMs),
      IsolationTimeout(Options.IsolationMs),
      AutonomyTimeout(Options.AutonomyMs), Worker(std::move(Worker)),
      Peers(Peers), Stats(Stats), OnChange(std::move(OnChange)),
      Lifecycle(Charts.Worker, Stats), Parts(Size, Lease, Charts.Task),
      Stops(MaxQueuedStops), SuperviseThread([this] { superviseLoop(); }),
      LeadThread([this] { leadLoop(); }) {
  for (std::uint32_t I = 0; I < Size.Accelerators; ++I)
    StopThreads.emplace_back([this] { stopLoop(); });
}

WorkerController::~WorkerController() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  ShuttingDown = true;
  for (std::thread &Each : StopThreads)
    Each.join();
  SuperviseThread.join();
  LeadThread.join();
}

wire::CommandReply WorkerController::replyOf(const Expected<void> &Done) {
  wire::CommandReply Reply;
  setCode(Reply, Done ? ResultCode::Ok : Done.error().Code);
  if (!Done)
    Reply.set_detail(Done.error().Detail);
  return Reply;
}

void WorkerController::observeEpoch(Epoch Observed) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Parts.observeEpoch(Observed);
}

void WorkerController::onEntryReply(Instant SentAt,
                                    Milliseconds CoordinatorAge) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  EntryRepliedAt = std::max(EntryRepliedAt, SentAt);
  CoordinatorContactAt =
      std::max(CoordinatorContactAt, SentAt - CoordinatorAge);
}

Instant WorkerController::latestLeaseExpiry() const {
  return std::min(EntryRepliedAt + IsolationTimeout,
                  CoordinatorContactAt + AutonomyTimeout);
}

/// Stops all parts when neither an entry nor the coordinator was in contact
/// recently enough. From then on a coordinator assumes that this worker has
/// stopped the gang and may start it again.
void WorkerController::stopIfIsolated(Instant Now) {
  std::vector<std::string> Tasks;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Now <= latestLeaseExpiry())
      return;
    for (PartRecord *Part : Parts.all()) {
      if (Part->Phase == wire::RUNNING)
        Tasks.push_back(Part->taskName());
      if (!Part->ended())
        (void)Parts.transition(*Part, "lose", Now);
    }
  }
  for (const std::string &Task : Tasks) {
    LOG4CPLUS_WARN(logOf("gang"),
                   "Isolated from the entries or the coordinator; stopping "
                       << Task << ".");
    (void)Worker->stop(Task);
  }
}

wire::CommandReply
WorkerController::reserve(const wire::ReserveRequest &Request) {
  if (draining())
    return replyOf(
        failure(ResultCode::Draining, "The worker accepts no new tasks."));
  const std::lock_guard<std::mutex> Lock(Mutex);
  return replyOf(Parts.reserve(Request, monotonicNow()));
}

wire::CommandReply WorkerController::start(const wire::StartRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Expected<void> Done = Parts.arm(Request, Self, monotonicNow());
  const GangKey Key{Request.job(), Request.attempt()};
  PartRecord *Part = Parts.find(JobId(Key.first), Attempt(Key.second));
  if (Done && Part->IsLead && LedGangs.count(Key) == 0) {
    LedGang Gang;
    Gang.Start = Request;
    Gang.RenewedAt.assign(Request.members_size(), monotonicNow());
    LedGangs[Key] = Gang;
    Wake.notify_all();
  }
  return replyOf(Done);
}

wire::CommandReply WorkerController::renew(const wire::RenewRequest &Request) {
  const JobId Job(Request.job());
  const Attempt AttemptNumber(Request.attempt());
  std::string Task;
  Instant ExpiresAt;
  bool Launch = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    auto Part =
        Parts.renew(Job, AttemptNumber, monotonicNow(), latestLeaseExpiry());
    if (!Part)
      return replyOf(tl::unexpected<Error>(Part.error()));
    ExpiresAt = (*Part)->ExpiresAt;
    Task = (*Part)->taskName();
    Launch = Request.go() && (*Part)->Phase == wire::ARMED;
    if (!Launch && (*Part)->Phase != wire::RUNNING) {
      wire::CommandReply Reply = replyOf({});
      *Reply.mutable_part() = (*Part)->toWire();
      return Reply;
    }
  }
  if (Launch)
    launch(Job, AttemptNumber);
  else
    (void)Worker->renew(Task, ExpiresAt);
  const std::lock_guard<std::mutex> Lock(Mutex);
  wire::CommandReply Reply = replyOf({});
  if (const PartRecord *Part = Parts.find(Job, AttemptNumber))
    *Reply.mutable_part() = Part->toWire();
  return Reply;
}

bool WorkerController::launch(const JobId &Job, Attempt AttemptNumber) {
  platform::TaskOrder Order;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    PartRecord *Part = Parts.find(Job, AttemptNumber);
    if (!Part || Part->Phase != wire::ARMED || monotonicNow() > Part->ExpiresAt)
      return false;
    Order.set_id(Part->taskName());
    Order.set_tasks(Part->Reservation.tasks());
    Order.set_accelerators(Part->Reservation.accelerators_per_task());
    Order.set_cores(Part->Reservation.cores_per_task());
    Order.set_memory_mb(Part->Reservation.memory_mb_per_task());
    Order.set_payload(Part->Start.payload());
    Order.set_resume_ms(Part->Start.resume_ms());
    // The worker refuses the order after this time, so that nothing starts
    // late if this process is paused before it sends the order.
    Order.set_lease_until_ms(
        static_cast<std::uint64_t>(Part->ExpiresAt.time_since_epoch().count()));
    if (!Parts.transition(*Part, "go", monotonicNow()))
      return false;
    Part->MayHaveRun = true;
  }
  const Expected<void> Done = Worker->start(Order);
  if (!Done) {
    (void)Worker->stop(Order.id());
    const std::lock_guard<std::mutex> Lock(Mutex);
    PartRecord *Part = Parts.find(Job, AttemptNumber);
    if (Part && Part->Phase == wire::RUNNING)
      (void)Parts.transition(*Part, "lose", monotonicNow());
    LOG4CPLUS_WARN(logOf("gang"), "The worker did not start "
                                      << Order.id() << ": "
                                      << Done.error().Detail);
  }
  OnChange();
  return Done.has_value();
}

wire::CommandReply WorkerController::stop(const wire::StopRequest &Request) {
  const JobId Job(Request.job());
  const Attempt AttemptNumber(Request.attempt());
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (auto Admitted = Parts.checkEpoch(Epoch(Request.epoch())); !Admitted)
      return replyOf(Admitted);
    PartRecord *Part = Parts.find(Job, AttemptNumber);
    if (!Part)
      return replyOf(
          failure(ResultCode::UnknownGang, "The worker has no such part."));
    if (Part->Phase == wire::RESERVED || Part->Phase == wire::ARMED)
      (void)Parts.transition(*Part, "stop", monotonicNow());
    Part->StopInProgress = Part->Phase == wire::RUNNING;
    Part->StopGraceUntil =
        monotonicNow() + Milliseconds(Request.deadline_ms()) + Lease;
    if (Part->ended()) {
      wire::CommandReply Reply = replyOf({});
      *Reply.mutable_part() = Part->toWire();
      if (Request.forget())
        Parts.forget(Job, AttemptNumber);
      return Reply;
    }
  }
  if (!Stops.tryPush(Request))
    return replyOf(
        failure(ResultCode::Overloaded, "Too many stops are pending."));
  return replyOf({});
}

void WorkerController::stopLoop() {
  while (!ShuttingDown) {
    if (const auto Request = Stops.pop(SupervisePeriod))
      executeStop(*Request);
  }
}

void WorkerController::executeStop(const wire::StopRequest &Request) {
  const JobId Job(Request.job());
  const Attempt AttemptNumber(Request.attempt());
  const std::string Task =
      Request.job() + "." + std::to_string(Request.attempt());
  Milliseconds SavedProgress{0};
  bool Checkpointed = false;
  if (Request.checkpoint()) {
    const auto Written =
        Worker->checkpoint(Task, Milliseconds(Request.deadline_ms()));
    Checkpointed = Written.has_value();
    if (Written)
      SavedProgress = *Written;
  }
  Expected<void> Stopped;
  if (!Checkpointed)
    Stopped = Worker->stop(Task);
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    PartRecord *Part = Parts.find(Job, AttemptNumber);
    if (Part && Part->Phase == wire::RUNNING && Stopped) {
      Part->Checkpointed = Checkpointed;
      Part->Progress =
          Checkpointed ? SavedProgress : Milliseconds(Part->Start.resume_ms());
      (void)Parts.transition(*Part, "stop", monotonicNow());
    }
  }
  OnChange();
}

wire::InventoryReply
WorkerController::inventory(const wire::InventoryRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  wire::InventoryReply Reply;
  const Expected<void> Done = Parts.checkEpoch(Epoch(Request.epoch()));
  Reply.set_code(
      static_cast<std::uint32_t>(Done ? ResultCode::Ok : Done.error().Code));
  if (!Done)
    return Reply;
  for (const auto &Part : Parts.wireParts())
    *Reply.add_parts() = Part;
  return Reply;
}

wire::WorkerStatus WorkerController::status() const {
  wire::WorkerStatus Status;
  Status.set_accelerators(Size.Accelerators);
  Status.set_cores(Size.Cores);
  Status.set_memory_mb(Size.MemoryMb);
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &Part : Parts.wireParts())
    *Status.add_parts() = Part;
  return Status;
}

std::uint64_t WorkerController::refusedEvents() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Parts.refusedEvents();
}

bool WorkerController::waitIdle(Milliseconds Timeout) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return Wake.wait_for(Lock, Timeout, [&] {
    for (const PartRecord *Part : Parts.all())
      if (!Part->ended())
        return false;
    return true;
  });
}

void WorkerController::superviseLoop() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    superviseOnce();
    Lock.lock();
    Wake.wait_for(Lock, SupervisePeriod, [&] { return Stopping; });
  }
}

void WorkerController::superviseOnce() {
  const auto Report = Worker->report();
  if (Report && !OrphansStopped)
    stopOrphanedTasks();
  const bool Accepts = Report && OrphansStopped && Report->state() == "ready";
  if (OrphansStopped && Lifecycle.is("unheard"))
    Lifecycle.applyEvent("clear");
  if (Lifecycle.applyEvent(Accepts ? "accept" : "refuse")) {
    LOG4CPLUS_INFO(logOf("worker"),
                   "The worker is " << Lifecycle.state() << ".");
    OnChange();
  }
  stopIfIsolated(monotonicNow());
  std::vector<std::string> Expired;
  bool Moved = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Instant Now = monotonicNow();
    if (Report)
      Moved = Parts.applyReport(*Report, Now);
    Expired = Parts.expireLeases(Now);
    Wake.notify_all();
  }
  for (const std::string &Task : Expired) {
    LOG4CPLUS_WARN(logOf("gang"), "The lease of " << Task << " has expired.");
    (void)Worker->stop(Task);
  }
  if (Moved || !Expired.empty())
    OnChange();
}

/// Stops the tasks that an earlier incarnation of this agent started: they
/// belong to gangs unknown to this incarnation. New parts are accepted only
/// after that.
void WorkerController::stopOrphanedTasks() {
  const auto Report = Worker->report();
  if (!Report)
    return;
  bool AllStopped = true;
  for (const auto &Task : Report->tasks()) {
    if (Task.state() != "running")
      continue;
    AllStopped = Worker->stop(Task.id()).has_value() && AllStopped;
  }
  OrphansStopped = AllStopped;
}

std::vector<std::pair<WorkerController::GangKey, WorkerController::LedGang>>
WorkerController::dueGangs(Instant Now) {
  std::vector<std::pair<GangKey, LedGang>> Due;
  for (const auto &[Key, Gang] : LedGangs)
    if (Gang.NextRenewalAt <= Now)
      Due.emplace_back(Key, Gang);
  return Due;
}

void WorkerController::leadLoop() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    auto Due = dueGangs(monotonicNow());
    Lock.unlock();
    for (auto &[Key, Gang] : Due)
      leadRound(Key, Gang);
    Lock.lock();
    Wake.wait_for(Lock, LeadPollPeriod);
  }
}

std::vector<wire::CommandReply>
WorkerController::renewMembers(const LedGang &Gang, bool Go) {
  wire::RenewRequest Request;
  Request.set_job(Gang.Start.job());
  Request.set_attempt(Gang.Start.attempt());
  Request.set_go(Go);
  const auto &Members = Gang.Start.members();
  std::vector<wire::CommandReply> Replies(Members.size());
  inParallel(Replies.size(), MaxParallelCalls, [&](std::size_t I) {
    const wire::GangMember &Member = Members.at(static_cast<int>(I));
    if (Member.node() == Self.str()) {
      Replies[I] = renew(Request);
      return;
    }
    const auto Reply = Peers.renew(Member.rpc_address(), Request, RenewTimeout);
    if (Reply)
      Replies[I] = *Reply;
    else
      setCode(Replies[I], Reply.error().Code);
  });
  return Replies;
}

bool WorkerController::memberFailed(const wire::CommandReply &Reply,
                                    bool GoSent) const {
  const auto Code = static_cast<ResultCode>(Reply.code());
  if (Code == ResultCode::UnknownGang)
    return GoSent;
  if (Code != ResultCode::Ok)
    return false;
  const wire::GangPhase Phase = Reply.part().phase();
  return Phase == wire::FAILED || Phase == wire::LOST ||
         (Phase == wire::STOPPED && !Reply.part().checkpointed());
}

bool WorkerController::memberCheckpointed(const wire::CommandReply &Reply) {
  return static_cast<ResultCode>(Reply.code()) == ResultCode::Ok &&
         Reply.part().phase() == wire::STOPPED && Reply.part().checkpointed();
}

void WorkerController::leadRound(const GangKey &Key, LedGang &Gang) {
  const bool Go = Gang.GoSent;
  const Instant RoundStart = monotonicNow();
  bool InStopGrace = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const PartRecord *Own = Parts.find(JobId(Key.first), Attempt(Key.second));
    if (!Own) {
      LedGangs.erase(Key);
      return;
    }
    InStopGrace = RoundStart < Own->StopGraceUntil;
  }
  std::vector<wire::CommandReply> Replies = renewMembers(Gang, Go);
  bool AllArmed = true;
  bool AllEnded = true;
  bool SomeFailed = false;
  bool SomeCheckpointed = false;
  for (std::size_t I = 0; I < Replies.size(); ++I) {
    const auto Code = static_cast<ResultCode>(Replies[I].code());
    const wire::GangPhase Phase = Replies[I].part().phase();
    if (Code == ResultCode::Ok)
      Gang.RenewedAt[I] = RoundStart;
    AllArmed &= Code == ResultCode::Ok && Phase == wire::ARMED;
    AllEnded &= Code == ResultCode::Ok && Phase == wire::SUCCEEDED;
    SomeFailed |= memberFailed(Replies[I], Gang.GoSent);
    SomeFailed |= RoundStart - Gang.RenewedAt[I] > Lease;
    SomeCheckpointed |= memberCheckpointed(Replies[I]);
  }
  // A gang without one of its members cannot use its checkpoints, so members
  // that still write theirs are left running only while no member has failed.
  if (SomeFailed || (SomeCheckpointed && !InStopGrace)) {
    stopGang(Gang);
    updateLedGang(Key, Gang, false);
    return;
  }
  if (!Gang.GoSent && AllArmed) {
    Gang.GoSent = true;
    Gang.NextRenewalAt = Instant();
  } else {
    Gang.NextRenewalAt =
        RoundStart + (Gang.GoSent ? Lease / RenewalsPerLease : ArmPollPeriod);
  }
  updateLedGang(Key, Gang, !AllEnded);
}

void WorkerController::updateLedGang(const GangKey &Key, const LedGang &Gang,
                                     bool Keep) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Keep)
    LedGangs[Key] = Gang;
  else
    LedGangs.erase(Key);
}

void WorkerController::stopGang(const LedGang &Gang) {
  LOG4CPLUS_WARN(logOf("gang"),
                 "Stopping " << Gang.Start.job() << ": a member failed.");
  Stats.count("gangs_broken");
  wire::StopRequest Request;
  Request.set_epoch(Gang.Start.epoch());
  Request.set_job(Gang.Start.job());
  Request.set_attempt(Gang.Start.attempt());
  {
    // The epoch of the gang may be stale by now. This stop is not a
    // coordinator's command, and members must accept it nevertheless.
    const std::lock_guard<std::mutex> Lock(Mutex);
    Request.set_epoch(std::max(Request.epoch(), Parts.highestEpoch().value()));
  }
  const auto &Members = Gang.Start.members();
  inParallel(static_cast<std::size_t>(Members.size()), MaxParallelCalls,
             [&](std::size_t I) {
               const auto &Member = Members.at(static_cast<int>(I));
               if (Member.node() == Self.str())
                 (void)stop(Request);
               else
                 (void)Peers.stop(Member.rpc_address(), Request, StopTimeout);
             });
}

} // namespace baobabcove
