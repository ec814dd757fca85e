#include "coordinator/Coordinator.h"

#include "base/Log.h"
#include "base/StateDump.h"
#include "coordinator/WireTypes.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::size_t EventCapacity = 16384;
constexpr std::size_t OrderCapacity = 4096;
constexpr std::size_t ActorCount = 8;
constexpr Milliseconds DecidePeriod{200};
/// A new coordinator waits this long for the workers to answer.
constexpr Milliseconds SettlePatience{3000};
/// Reports made before a start was carried out may still be on their way.
constexpr Milliseconds StartGrace{3000};

LossTimes lossTimes(const Settings &Of) {
  LossTimes Times;
  Times.Silence = Milliseconds(Of.WorkerSilenceMs);
  Times.Autonomy = Milliseconds(Of.AutonomyMs);
  Times.EntryFresh = Milliseconds(Of.MinionSilenceMs);
  return Times;
}

} // namespace

Coordinator::Coordinator(const Settings &Of, const StateChart &JobChart,
                         Store &Platform, RpcPeers &Peers, JobBook &Book,
                         const Members &Known, ConfigurationKeeper &Keeper,
                         Metrics &Figures)
    : Of(Of), Life(JobChart, Figures), Platform(Platform), Book(Book),
      Known(Known), Keeper(Keeper), Figures(Figures), Events(EventCapacity),
      Records(Book), Actions(Peers, Book, Records, Life), Losses(lossTimes(Of)),
      Published(makeDump()) {
  for (std::size_t I = 0; I < ActorCount; ++I)
    Orders.push_back(std::make_unique<Ring<Action>>(OrderCapacity));
  for (std::size_t I = 0; I < ActorCount; ++I)
    Actors.emplace_back([this, I] { actLoop(I); });
  Decider = std::thread([this] { decideLoop(); });
}

Coordinator::~Coordinator() {
  Stopping = true;
  Decider.join();
  for (std::thread &Each : Actors)
    Each.join();
}

void Coordinator::post(Event Happened) {
  // A full ring drops the event; the loop then looks at everything anew.
  if (!Events.tryPush(std::move(Happened)))
    MissedEvents = true;
}

void Coordinator::act(const std::string &Name, Action Work) {
  const std::size_t Index = std::hash<std::string>()(Name) % ActorCount;
  if (!Orders[Index]->tryPush(std::move(Work)))
    Figures.count("coordinator_orders_refused");
}

void Coordinator::roleChanged(Epoch Taken) { post(RoleEvent{Taken}); }

void Coordinator::memberHeard(const wire::Heartbeat &Beat) {
  if (Beat.kind() != wire::MINION)
    post(BeatEvent{Beat});
}

void Coordinator::jobChanged(const StoredJob &Job) { post(JobEvent{Job}); }

void Coordinator::configurationChanged() { post(ConfigurationEvent{}); }

void Coordinator::actLoop(std::size_t Index) {
  while (!Stopping)
    if (auto Work = Orders[Index]->pop(DecidePeriod))
      (*Work)();
}

void Coordinator::decideLoop() {
  while (!Stopping) {
    auto Happened = Events.pop(DecidePeriod);
    bool Any = Happened.has_value();
    while (Happened) {
      std::visit([this](const auto &Each) { on(Each); }, *Happened);
      Happened = Events.pop(Milliseconds(0));
    }
    const Instant Present = monotonicNow();
    if (Now == Stage::Settling)
      settleIfDone(Present);
    if (Now == Stage::Deciding &&
        (Any || Present - LastDecision >= DecidePeriod)) {
      if (MissedEvents.exchange(false))
        resync();
      judgeLosses(Present);
      decide(Present);
      removeOldJobs(Present);
    }
    publish();
  }
}

void Coordinator::on(const RoleEvent &Happened) {
  Held = Happened.Held;
  Gangs = GangTracker();
  Workers.clear();
  Scheduled.clear();
  ToAdopt.clear();
  Records.clear();
  Policy.reset();
  Now = Stage::Idle;
  if (Held == Epoch())
    return;
  SchedulerOptions Options;
  Options.Policy = Of.Policy;
  Policy = std::make_unique<Scheduler>(Options);
  Now = Stage::Listing;
  StageSince = monotonicNow();
  listEverything();
  for (const auto &Each :
       Known.alive(wire::WORKER, Milliseconds(Of.WorkerSilenceMs), StageSince))
    askInventory(Each.Beat);
}

void Coordinator::listEverything() {
  const Epoch For = Held;
  act("list", [this, For] {
    ListedEvent Listed;
    Listed.For = For;
    while (!Stopping) {
      auto Jobs = Book.listThrough();
      const auto Entries = Platform.list("entries/" + Of.Cell + "/");
      if (!Jobs || !Entries) {
        std::this_thread::sleep_for(DecidePeriod);
        continue;
      }
      Listed.Jobs = std::move(*Jobs);
      for (const StoreEntry &Each : Entries->Entries) {
        wire::EntryRecord Entry;
        if (Entry.ParseFromString(Each.Value))
          Listed.Entries.insert(Entry.node());
      }
      break;
    }
    post(std::move(Listed));
  });
}

void Coordinator::askInventory(const wire::Heartbeat &Beat) {
  WorkerView &View = Workers[Beat.node()];
  View = WorkerView();
  View.Incarnation = Beat.incarnation();
  View.HeardAt = monotonicNow();
  View.Address = Beat.rpc_address();
  View.Asked = true;
  const Epoch For = Held;
  act(Beat.node(), [this, For, Beat] {
    InventoriedEvent Event;
    Event.For = For;
    Event.Beat = Beat;
    const auto Reply = Actions.inventory(Beat.rpc_address(), For);
    Event.Accepted = Reply.has_value();
    if (Reply)
      *Event.Beat.mutable_worker()->mutable_parts() = Reply->parts();
    post(std::move(Event));
  });
}

void Coordinator::on(const ListedEvent &Happened) {
  if (Happened.For != Held || Now != Stage::Listing)
    return;
  ToAdopt = Happened.Jobs;
  std::set<std::string> Others = Happened.Entries;
  Others.erase(Of.Node);
  Losses.begin(Others, monotonicNow());
  Now = Stage::Settling;
  StageSince = monotonicNow();
}

void Coordinator::on(const InventoriedEvent &Happened) {
  if (Happened.For != Held || Now == Stage::Idle)
    return;
  WorkerView &View = Workers[Happened.Beat.node()];
  if (View.Incarnation != Happened.Beat.incarnation())
    return;
  View.Asked = false;
  View.Ready = Happened.Accepted;
  if (!View.Ready)
    return;
  tellSchedulerOf(Happened.Beat);
  if (Now == Stage::Deciding)
    observeWorker(Happened.Beat);
}

void Coordinator::settleIfDone(Instant Present) {
  const bool Waiting =
      std::any_of(Workers.begin(), Workers.end(),
                  [](const auto &Pair) { return Pair.second.Asked; });
  // Right after a start of everything, workers take a moment to be heard.
  const bool Patient = Present - StageSince < SettlePatience;
  if (Patient && (Waiting || Workers.empty()))
    return;
  applyGuarantees();
  for (const StoredJob &Job : ToAdopt)
    adoptJob(Job);
  ToAdopt.clear();
  Now = Stage::Deciding;
  LOG4CPLUS_INFO(logOf("coordinator"), "Deciding for " << Workers.size()
                                                       << " workers, epoch "
                                                       << Held << ".");
  resync();
}

void Coordinator::adoptJob(const StoredJob &Job) {
  const wire::JobRecord &Record = Job.Record;
  if (hasEnded(Record) || !Scheduled.insert(Record.id()).second)
    return;
  const JobInfo Info = jobInfoOf(Record);
  if (Record.state() == wire::QUEUED) {
    Policy->jobQueued(Info, monotonicNow());
  } else {
    std::vector<Placement> Members;
    TrackedGang Gang;
    Gang.Job = Info.Id;
    Gang.Number = Attempt(Record.attempt());
    Gang.Kept = Milliseconds(Record.progress_ms());
    Gang.SettledAt = monotonicNow();
    for (const auto &Member : Record.members()) {
      Members.push_back({NodeId(Member.node()), Member.tasks()});
      Gang.Members.push_back(Member);
    }
    Gangs.add(Gang);
    Policy->jobRunning(
        Info, Gang.Number, Members, Record.borrowed(),
        instantOf(std::max(Record.started_at_ms(), Record.submitted_at_ms())));
  }
  Policy->attemptUsed(Info.Id, Attempt(Record.attempt()),
                      Milliseconds(Record.progress_ms()));
  if (Record.cancel_requested())
    Policy->jobCancelled(Info.Id, monotonicNow());
}

void Coordinator::applyGuarantees() {
  const auto Present = Keeper.current();
  Policy->setGuarantees(guaranteesOf(*Present));
  Policy->setCompletionWeight(Present->CompletionWeight);
}

void Coordinator::on(const ConfigurationEvent &) {
  if (Now == Stage::Deciding)
    applyGuarantees();
}

void Coordinator::on(const JobEvent &Happened) {
  if (Now != Stage::Deciding)
    return;
  // Events may overtake each other; the book has the newest record.
  StoredJob Newest;
  if (!Book.find(JobId(Happened.Job.Record.id()), Newest))
    return;
  const wire::JobRecord &Record = Newest.Record;
  if (hasEnded(Record)) {
    Scheduled.erase(Record.id());
    return;
  }
  if (Scheduled.count(Record.id()) == 0) {
    adoptJob(Newest);
    return;
  }
  const JobId Id(Record.id());
  if (Record.state() == wire::QUEUED)
    Policy->attemptUsed(Id, Attempt(Record.attempt()),
                        Milliseconds(Record.progress_ms()));
  if (Record.cancel_requested())
    Policy->jobCancelled(Id, monotonicNow());
}

void Coordinator::on(const BeatEvent &Happened) {
  const wire::Heartbeat &Beat = Happened.Beat;
  const Instant Present = monotonicNow();
  if (Now == Stage::Idle)
    return;
  if (Beat.kind() == wire::ENTRY) {
    Losses.hearEntry(Beat, Present);
    return;
  }
  const auto Found = Workers.find(Beat.node());
  if (Found == Workers.end() ||
      Found->second.Incarnation < Beat.incarnation()) {
    askInventory(Beat);
    return;
  }
  WorkerView &View = Found->second;
  if (Beat.incarnation() < View.Incarnation)
    return;
  View.HeardAt = Present;
  if (!View.Ready && !View.Asked)
    askInventory(Beat);
  if (!View.Ready || Now != Stage::Deciding)
    return;
  tellSchedulerOf(Beat);
  observeWorker(Beat);
}

void Coordinator::tellSchedulerOf(const wire::Heartbeat &Beat) {
  Workers[Beat.node()].Listed = true;
  Policy->workerSeen(workerInfoOf(Beat), monotonicNow());
}

void Coordinator::observeWorker(const wire::Heartbeat &Beat) {
  const Instant Present = monotonicNow();
  for (TrackedGang *Gang : Gangs.on(Beat.node()))
    news(*Gang, Gangs.observe(*Gang, Beat, Present));
  for (const wire::GangPart &Part : Beat.worker().parts())
    if (Part.phase() == wire::RUNNING && Part.memory_mb_per_task() > 0) {
      Figures.count("usage_reports");
      Policy->usageReported(JobId(Part.job()), Part.memory_mb_per_task());
    }
  stopStrays(Beat);
}

void Coordinator::stopStrays(const wire::Heartbeat &Beat) {
  for (const auto &Part : Gangs.strays(Beat)) {
    if (Part.phase() == wire::RESERVED)
      continue;
    StopOrder Order;
    Order.By = Held;
    Order.Job = JobId(Part.job());
    Order.Number = Attempt(Part.attempt());
    Order.Forget = true;
    wire::GangMember Member;
    Member.set_node(Beat.node());
    Member.set_rpc_address(Beat.rpc_address());
    Order.Members.push_back(Member);
    Figures.count("stray_parts_stopped");
    act(Part.job(), [this, Order] { Actions.stop(Order); });
  }
}

void Coordinator::on(const RecordedEvent &Happened) {
  TrackedGang *Gang = Gangs.find(Happened.Job, Happened.Number);
  if (!Gang || !Gang->Ended)
    return;
  StopOrder Order = stopOrderOf(*Gang);
  Order.Forget = true;
  act(Happened.Job.str(), [this, Order] { Actions.stop(Order); });
  Gangs.erase(Happened.Job, Happened.Number);
}

void Coordinator::on(const StartedEvent &Happened) {
  const StartOrder &Order = Happened.Order;
  TrackedGang *Gang = Gangs.find(Order.Job, Order.Number);
  if (Order.By != Held || !Gang)
    return;
  if (Happened.Outcome.MayRun) {
    Gang->SettledAt = monotonicNow() + StartGrace;
    return;
  }
  LOG4CPLUS_INFO(logOf("coordinator"), "Did not start "
                                           << Order.Job << ": "
                                           << Happened.Outcome.Reason.Detail);
  Figures.count("starts_refused");
  Gangs.erase(Order.Job, Order.Number);
  Policy->gangRefused(Order.Job, Order.Number,
                      NodeId(Happened.Outcome.Refusing), monotonicNow());
  StoredJob Present;
  if (Book.find(Order.Job, Present))
    Policy->attemptUsed(Order.Job, Attempt(Present.Record.attempt()),
                        Milliseconds(Present.Record.progress_ms()));
}

/// Looks at everything again, after events were missed or a role began.
void Coordinator::resync() {
  for (const StoredJob &Job : Book.all())
    on(JobEvent{Job});
  for (const auto &Each : Known.alive(
           wire::WORKER, Milliseconds(Of.WorkerSilenceMs), monotonicNow()))
    on(BeatEvent{Each.Beat});
}

void Coordinator::publish() {
  auto Out = makeDump();
  static const char *const StageNames[] = {"idle", "listing", "settling",
                                           "deciding"};
  Out->set("stage", StageNames[static_cast<int>(Now)]);
  Out->set("epoch", Held.value());
  Out->set("events_waiting", Events.fill());
  Out->set("events_capacity", Events.capacity());
  Out->set("events_refused", Events.refused());
  std::size_t OrdersWaiting = 0;
  std::size_t OrdersRefused = 0;
  for (const auto &Ring : Orders) {
    OrdersWaiting += Ring->fill();
    OrdersRefused += Ring->refused();
  }
  Out->set("orders_waiting", OrdersWaiting);
  Out->set("orders_capacity", ActorCount * OrderCapacity);
  Out->set("orders_refused", OrdersRefused);
  Out->set("records_waiting", Records.size());
  Out->set("gangs", Gangs.all().size());
  Out->set("workers_known", Workers.size());
  if (Policy) {
    const SchedulerFigures Numbers = Policy->figures();
    Out->set("jobs_queued", Numbers.Queued);
    Out->set("jobs_running", Numbers.Running);
    Out->set("accelerators_free", Numbers.FreeAccelerators);
    Out->set("accelerators", Numbers.TotalAccelerators);
    Out->set("workers_quarantined", Numbers.Quarantined);
    Out->set("guarantee_cells_unpackable", Numbers.UnpackableCells);
    Out->set("reclaims", Numbers.Reclaims);
    Out->set("compactions", Numbers.Compactions);
  }
  const std::lock_guard<std::mutex> Lock(DumpMutex);
  Published = Out;
}

Poco::JSON::Object::Ptr Coordinator::dump() const {
  const std::lock_guard<std::mutex> Lock(DumpMutex);
  return Published;
}

} // namespace baobabcove
