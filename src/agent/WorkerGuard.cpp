#include "agent/WorkerGuard.h"

#include "base/Log.h"
#include "base/Parallel.h"

namespace baobabcove {

namespace {

constexpr Milliseconds SupervisePeriod{100};
constexpr Milliseconds LeadLook{20};
constexpr Milliseconds ArmRound{50};
constexpr Milliseconds RenewPatience{800};
constexpr Milliseconds StopPatience{2000};
constexpr std::size_t FanOut = 16;
constexpr std::size_t MaxStops = 256;
/// Renewals within the length of a lease.
constexpr int RenewalsPerLease = 5;

void setCode(wire::CommandReply &Reply, ResultCode Code) {
  Reply.set_code(static_cast<std::uint32_t>(Code));
}

WorkerSize sizeOf(const Settings &Of) {
  return {Of.Accelerators, Of.Cores, Of.MemoryMb};
}

} // namespace

WorkerGuard::WorkerGuard(const Settings &Of, const StateCharts &Charts,
                         std::unique_ptr<WorkerClient> Worker, RpcPeers &Peers,
                         Metrics &Figures, std::function<void()> Changed)
    : Self(Of.Node), Size(sizeOf(Of)), Lease(Of.GangLeaseMs),
      Isolation(Of.IsolationMs), Autonomy(Of.AutonomyMs),
      Worker(std::move(Worker)), Peers(Peers), Figures(Figures),
      Changed(std::move(Changed)), Life(Charts.Worker, Figures),
      Parts(Size, Lease, Charts.Task), Stops(MaxStops),
      Supervisor([this] { superviseLoop(); }), Leader([this] { leadLoop(); }) {
  for (std::uint32_t I = 0; I < Size.Accelerators; ++I)
    Stoppers.emplace_back([this] { stopperLoop(); });
}

WorkerGuard::~WorkerGuard() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  StoppingAll = true;
  for (std::thread &Each : Stoppers)
    Each.join();
  Supervisor.join();
  Leader.join();
}

wire::CommandReply WorkerGuard::replyOf(const Expected<void> &Done) {
  wire::CommandReply Reply;
  setCode(Reply, Done ? ResultCode::Ok : Done.error().Code);
  if (!Done)
    Reply.set_detail(Done.error().Detail);
  return Reply;
}

void WorkerGuard::raiseEpoch(Epoch Heard) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Parts.raiseEpoch(Heard);
}

void WorkerGuard::heardEntry(Instant SentAt, Milliseconds CoordinatorAge) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  EntryHeardAt = std::max(EntryHeardAt, SentAt);
  CoordinatorSeenAt = std::max(CoordinatorSeenAt, SentAt - CoordinatorAge);
}

Instant WorkerGuard::horizon() const {
  return std::min(EntryHeardAt + Isolation, CoordinatorSeenAt + Autonomy);
}

/// A coordinator may start a gang again once this worker must have stopped it,
/// so the worker stops when nobody can vouch for it any more.
void WorkerGuard::stopIfCutOff(Instant Now) {
  std::vector<std::string> Tasks;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Now <= horizon())
      return;
    for (PartRecord *Part : Parts.all()) {
      if (Part->Phase == wire::RUNNING)
        Tasks.push_back(Part->taskName());
      if (!Part->ended())
        (void)Parts.move(*Part, "lose", Now);
    }
  }
  for (const std::string &Task : Tasks) {
    LOG4CPLUS_WARN(logOf("gang"), "Cut off; stopping " << Task << ".");
    (void)Worker->stop(Task);
  }
}

wire::CommandReply WorkerGuard::reserve(const wire::ReserveRequest &Request) {
  if (draining())
    return replyOf(
        failure(ResultCode::Draining, "The worker takes no new tasks."));
  const std::lock_guard<std::mutex> Lock(Mutex);
  return replyOf(Parts.reserve(Request, monotonicNow()));
}

wire::CommandReply WorkerGuard::start(const wire::StartRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Expected<void> Done = Parts.arm(Request, Self, monotonicNow());
  const GangKey Key{Request.job(), Request.attempt()};
  PartRecord *Part = Parts.find(JobId(Key.first), Attempt(Key.second));
  if (Done && Part->Leads && Led.count(Key) == 0) {
    LedGang Gang;
    Gang.Start = Request;
    Gang.RenewedAt.assign(Request.members_size(), monotonicNow());
    Led[Key] = Gang;
    Wake.notify_all();
  }
  return replyOf(Done);
}

wire::CommandReply WorkerGuard::renew(const wire::RenewRequest &Request) {
  const JobId Job(Request.job());
  const Attempt Number(Request.attempt());
  std::string Task;
  Instant Until;
  bool Launch = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    auto Part = Parts.renew(Job, Number, monotonicNow(), horizon());
    if (!Part)
      return replyOf(tl::unexpected<Error>(Part.error()));
    Until = (*Part)->Until;
    Task = (*Part)->taskName();
    Launch = Request.go() && (*Part)->Phase == wire::ARMED;
    if (!Launch && (*Part)->Phase != wire::RUNNING) {
      wire::CommandReply Reply = replyOf({});
      *Reply.mutable_part() = (*Part)->toWire();
      return Reply;
    }
  }
  if (Launch)
    launch(Job, Number);
  else
    (void)Worker->renew(Task, Until);
  const std::lock_guard<std::mutex> Lock(Mutex);
  wire::CommandReply Reply = replyOf({});
  if (const PartRecord *Part = Parts.find(Job, Number))
    *Reply.mutable_part() = Part->toWire();
  return Reply;
}

bool WorkerGuard::launch(const JobId &Job, Attempt Number) {
  platform::TaskOrder Order;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    PartRecord *Part = Parts.find(Job, Number);
    if (!Part || Part->Phase != wire::ARMED || monotonicNow() > Part->Until)
      return false;
    Order.set_id(Part->taskName());
    Order.set_tasks(Part->Need.tasks());
    Order.set_accelerators(Part->Need.accelerators_per_task());
    Order.set_cores(Part->Need.cores_per_task());
    Order.set_memory_mb(Part->Need.memory_mb_per_task());
    Order.set_payload(Part->Start.payload());
    Order.set_resume_ms(Part->Start.resume_ms());
    // The worker itself refuses the order after this, so that a pause of this
    // process between here and there starts nothing late.
    Order.set_lease_until_ms(
        static_cast<std::uint64_t>(Part->Until.time_since_epoch().count()));
    if (!Parts.move(*Part, "go", monotonicNow()))
      return false;
    Part->MayHaveRun = true;
  }
  const Expected<void> Done = Worker->start(Order);
  if (!Done) {
    (void)Worker->stop(Order.id());
    const std::lock_guard<std::mutex> Lock(Mutex);
    PartRecord *Part = Parts.find(Job, Number);
    if (Part && Part->Phase == wire::RUNNING)
      (void)Parts.move(*Part, "lose", monotonicNow());
    LOG4CPLUS_WARN(logOf("gang"), "The worker did not start "
                                      << Order.id() << ": "
                                      << Done.error().Detail);
  }
  Changed();
  return Done.has_value();
}

wire::CommandReply WorkerGuard::stop(const wire::StopRequest &Request) {
  const JobId Job(Request.job());
  const Attempt Number(Request.attempt());
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (auto Admitted = Parts.admit(Epoch(Request.epoch())); !Admitted)
      return replyOf(Admitted);
    PartRecord *Part = Parts.find(Job, Number);
    if (!Part)
      return replyOf(
          failure(ResultCode::UnknownGang, "There is no such part."));
    if (Part->Phase == wire::RESERVED || Part->Phase == wire::ARMED)
      (void)Parts.move(*Part, "stop", monotonicNow());
    Part->StopUnderWay = Part->Phase == wire::RUNNING;
    Part->ClosingUntil =
        monotonicNow() + Milliseconds(Request.deadline_ms()) + Lease;
    if (Part->ended()) {
      wire::CommandReply Reply = replyOf({});
      *Reply.mutable_part() = Part->toWire();
      if (Request.forget())
        Parts.forget(Job, Number);
      return Reply;
    }
  }
  if (!Stops.tryPush(Request))
    return replyOf(
        failure(ResultCode::Overloaded, "Too many stops are under way."));
  return replyOf({});
}

void WorkerGuard::stopperLoop() {
  while (!StoppingAll) {
    if (const auto Request = Stops.pop(SupervisePeriod))
      stopRunning(*Request);
  }
}

void WorkerGuard::stopRunning(const wire::StopRequest &Request) {
  const JobId Job(Request.job());
  const Attempt Number(Request.attempt());
  const std::string Task =
      Request.job() + "." + std::to_string(Request.attempt());
  Milliseconds Kept{0};
  bool Checkpointed = false;
  if (Request.checkpoint()) {
    const auto Written =
        Worker->checkpoint(Task, Milliseconds(Request.deadline_ms()));
    Checkpointed = Written.has_value();
    if (Written)
      Kept = *Written;
  }
  Expected<void> Stopped;
  if (!Checkpointed)
    Stopped = Worker->stop(Task);
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    PartRecord *Part = Parts.find(Job, Number);
    if (Part && Part->Phase == wire::RUNNING && Stopped) {
      Part->Checkpointed = Checkpointed;
      Part->Progress =
          Checkpointed ? Kept : Milliseconds(Part->Start.resume_ms());
      (void)Parts.move(*Part, "stop", monotonicNow());
    }
  }
  Changed();
}

wire::InventoryReply
WorkerGuard::inventory(const wire::InventoryRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  wire::InventoryReply Reply;
  const Expected<void> Done = Parts.admit(Epoch(Request.epoch()));
  Reply.set_code(
      static_cast<std::uint32_t>(Done ? ResultCode::Ok : Done.error().Code));
  if (!Done)
    return Reply;
  for (const auto &Part : Parts.wireParts())
    *Reply.add_parts() = Part;
  return Reply;
}

wire::WorkerStatus WorkerGuard::status() const {
  wire::WorkerStatus Status;
  Status.set_accelerators(Size.Accelerators);
  Status.set_cores(Size.Cores);
  Status.set_memory_mb(Size.MemoryMb);
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &Part : Parts.wireParts())
    *Status.add_parts() = Part;
  return Status;
}

std::uint64_t WorkerGuard::refusedEvents() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Parts.refusedEvents();
}

bool WorkerGuard::waitIdle(Milliseconds Patience) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return Wake.wait_for(Lock, Patience, [&] {
    for (const PartRecord *Part : Parts.all())
      if (!Part->ended())
        return false;
    return true;
  });
}

void WorkerGuard::superviseLoop() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    superviseOnce();
    Lock.lock();
    Wake.wait_for(Lock, SupervisePeriod, [&] { return Stopping; });
  }
}

void WorkerGuard::superviseOnce() {
  const auto Report = Worker->report();
  if (Report && !LeftoversGone)
    dropLeftovers();
  const bool Accepts = Report && LeftoversGone && Report->state() == "ready";
  if (LeftoversGone && Life.is("unheard"))
    Life.take("clear");
  if (Life.take(Accepts ? "accept" : "refuse")) {
    LOG4CPLUS_INFO(logOf("worker"), "The worker is " << Life.state() << ".");
    Changed();
  }
  stopIfCutOff(monotonicNow());
  std::vector<std::string> Lapsed;
  bool Moved = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Instant Now = monotonicNow();
    if (Report)
      Moved = Parts.observe(*Report, Now);
    Lapsed = Parts.lapse(Now);
    Wake.notify_all();
  }
  for (const std::string &Task : Lapsed) {
    LOG4CPLUS_WARN(logOf("gang"), "The lease of " << Task << " has lapsed.");
    (void)Worker->stop(Task);
  }
  if (Moved || !Lapsed.empty())
    Changed();
}

/// Tasks of an earlier life of this agent belong to gangs that this life knows
/// nothing of. They are stopped before anything new is taken.
void WorkerGuard::dropLeftovers() {
  const auto Report = Worker->report();
  if (!Report)
    return;
  bool Gone = true;
  for (const auto &Task : Report->tasks()) {
    if (Task.state() != "running")
      continue;
    Gone = Worker->stop(Task.id()).has_value() && Gone;
  }
  LeftoversGone = Gone;
}

std::vector<std::pair<WorkerGuard::GangKey, WorkerGuard::LedGang>>
WorkerGuard::dueGangs(Instant Now) {
  std::vector<std::pair<GangKey, LedGang>> Due;
  for (const auto &[Key, Gang] : Led)
    if (Gang.NextRound <= Now)
      Due.emplace_back(Key, Gang);
  return Due;
}

void WorkerGuard::leadLoop() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    auto Due = dueGangs(monotonicNow());
    Lock.unlock();
    for (auto &[Key, Gang] : Due)
      leadRound(Key, Gang);
    Lock.lock();
    Wake.wait_for(Lock, LeadLook);
  }
}

std::vector<wire::CommandReply> WorkerGuard::renewAll(const LedGang &Gang,
                                                      bool Go) {
  wire::RenewRequest Request;
  Request.set_job(Gang.Start.job());
  Request.set_attempt(Gang.Start.attempt());
  Request.set_go(Go);
  const auto &Members = Gang.Start.members();
  std::vector<wire::CommandReply> Replies(Members.size());
  inParallel(Replies.size(), FanOut, [&](std::size_t I) {
    const wire::GangMember &Member = Members.at(static_cast<int>(I));
    if (Member.node() == Self.str()) {
      Replies[I] = renew(Request);
      return;
    }
    const auto Reply =
        Peers.renew(Member.rpc_address(), Request, RenewPatience);
    if (Reply)
      Replies[I] = *Reply;
    else
      setCode(Replies[I], Reply.error().Code);
  });
  return Replies;
}

bool WorkerGuard::memberBroken(const wire::CommandReply &Reply,
                               bool Gone) const {
  const auto Code = static_cast<ResultCode>(Reply.code());
  if (Code == ResultCode::UnknownGang)
    return Gone;
  if (Code != ResultCode::Ok)
    return false;
  const wire::GangPhase Phase = Reply.part().phase();
  return Phase == wire::FAILED || Phase == wire::LOST ||
         (Phase == wire::STOPPED && !Reply.part().checkpointed());
}

bool WorkerGuard::memberLeft(const wire::CommandReply &Reply) {
  return static_cast<ResultCode>(Reply.code()) == ResultCode::Ok &&
         Reply.part().phase() == wire::STOPPED && Reply.part().checkpointed();
}

void WorkerGuard::leadRound(const GangKey &Key, LedGang &Gang) {
  const bool Go = Gang.Gone;
  const Instant Asked = monotonicNow();
  bool Closing = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const PartRecord *Own = Parts.find(JobId(Key.first), Attempt(Key.second));
    if (!Own) {
      Led.erase(Key);
      return;
    }
    Closing = Asked < Own->ClosingUntil;
  }
  std::vector<wire::CommandReply> Replies = renewAll(Gang, Go);
  bool AllArmed = true;
  bool AllEnded = true;
  bool Broken = false;
  bool Left = false;
  for (std::size_t I = 0; I < Replies.size(); ++I) {
    const auto Code = static_cast<ResultCode>(Replies[I].code());
    const wire::GangPhase Phase = Replies[I].part().phase();
    if (Code == ResultCode::Ok)
      Gang.RenewedAt[I] = Asked;
    AllArmed &= Code == ResultCode::Ok && Phase == wire::ARMED;
    AllEnded &= Code == ResultCode::Ok && Phase == wire::SUCCEEDED;
    Broken |= memberBroken(Replies[I], Gang.Gone);
    Broken |= Asked - Gang.RenewedAt[I] > Lease;
    Left |= memberLeft(Replies[I]);
  }
  // Without one of its members the gang can keep no checkpoint, so that those
  // that still write theirs are spared only while none is broken.
  if (Broken || (Left && !Closing)) {
    stopAll(Gang);
    keepLed(Key, Gang, false);
    return;
  }
  if (!Gang.Gone && AllArmed) {
    Gang.Gone = true;
    Gang.NextRound = Instant();
  } else {
    Gang.NextRound = Asked + (Gang.Gone ? Lease / RenewalsPerLease : ArmRound);
  }
  keepLed(Key, Gang, !AllEnded);
}

void WorkerGuard::keepLed(const GangKey &Key, const LedGang &Gang, bool Keep) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Keep)
    Led[Key] = Gang;
  else
    Led.erase(Key);
}

void WorkerGuard::stopAll(const LedGang &Gang) {
  LOG4CPLUS_WARN(logOf("gang"),
                 "Stopping " << Gang.Start.job() << ": a member is broken.");
  Figures.count("gangs_broken");
  wire::StopRequest Request;
  Request.set_epoch(Gang.Start.epoch());
  Request.set_job(Gang.Start.job());
  Request.set_attempt(Gang.Start.attempt());
  {
    // The gang's own epoch may be an older one by now; this stop is not a
    // coordinator's command and must be obeyed all the same.
    const std::lock_guard<std::mutex> Lock(Mutex);
    Request.set_epoch(std::max(Request.epoch(), Parts.highestEpoch().value()));
  }
  const auto &Members = Gang.Start.members();
  inParallel(static_cast<std::size_t>(Members.size()), FanOut,
             [&](std::size_t I) {
               const auto &Member = Members.at(static_cast<int>(I));
               if (Member.node() == Self.str())
                 (void)stop(Request);
               else
                 (void)Peers.stop(Member.rpc_address(), Request, StopPatience);
             });
}

} // namespace baobabcove
