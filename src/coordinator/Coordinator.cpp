#include "coordinator/Coordinator.h"

#include "base/Log.h"
#include "base/StateDump.h"
#include "coordinator/WireConversions.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::size_t EventCapacity = 16384;
constexpr std::size_t WorkQueueCapacity = 4096;
constexpr std::size_t ExecutorCount = 8;
constexpr Milliseconds DecidePeriod{200};
/// Time for which a new coordinator waits for the inventories of the workers.
constexpr Milliseconds SettleTimeout{3000};
/// Worker reports made before a start was carried out may still be in flight
/// for this long; a gang's parts may be missing from them.
constexpr Milliseconds StartReportDelay{3000};

LossTimeouts lossTimeouts(const Settings &Opts) {
  LossTimeouts Timeouts;
  Timeouts.WorkerTimeout = Milliseconds(Opts.WorkerSilenceMs);
  Timeouts.AutonomyLimit = Milliseconds(Opts.AutonomyMs);
  Timeouts.EntryTimeout = Milliseconds(Opts.MinionSilenceMs);
  return Timeouts;
}

} // namespace

Coordinator::Coordinator(const Settings &Opts, const StateChart &JobChart,
                         Store &ClusterStore, RpcPeers &Peers,
                         JobStore &JobRecords, const MemberTable &Membership,
                         ActiveConfiguration &Configurations, Metrics &Stats)
    : Opts(Opts), JobStates(JobChart, Stats), ClusterStore(ClusterStore),
      JobRecords(JobRecords), Membership(Membership),
      Configurations(Configurations), Stats(Stats), Events(EventCapacity),
      RecordWriter(JobRecords),
      Actions(Peers, JobRecords, RecordWriter, JobStates),
      LossDetector(lossTimeouts(Opts)), PublishedDump(makeDump()) {
  for (std::size_t I = 0; I < ExecutorCount; ++I)
    WorkQueues.push_back(
        std::make_unique<BoundedQueue<WorkItem>>(WorkQueueCapacity));
  for (std::size_t I = 0; I < ExecutorCount; ++I)
    ExecutorThreads.emplace_back([this, I] { executeLoop(I); });
  DecisionThread = std::thread([this] { decideLoop(); });
}

Coordinator::~Coordinator() {
  Stopping = true;
  DecisionThread.join();
  for (std::thread &Each : ExecutorThreads)
    Each.join();
}

void Coordinator::postEvent(Event Received) {
  // A full queue drops the event; decideLoop() then resynchronizes all state.
  if (!Events.tryPush(std::move(Received)))
    EventsDropped = true;
}

void Coordinator::enqueueWork(const std::string &Key, WorkItem Work) {
  const std::size_t Index = std::hash<std::string>()(Key) % ExecutorCount;
  if (!WorkQueues[Index]->tryPush(std::move(Work)))
    Stats.count("coordinator_orders_refused");
}

void Coordinator::roleChanged(Epoch Held) { postEvent(RoleEvent{Held}); }

void Coordinator::heartbeatReceived(const wire::Heartbeat &Heartbeat) {
  if (Heartbeat.kind() != wire::MINION)
    postEvent(HeartbeatEvent{Heartbeat});
}

void Coordinator::jobChanged(const StoredJob &Job) { postEvent(JobEvent{Job}); }

void Coordinator::configurationChanged() { postEvent(ConfigurationEvent{}); }

void Coordinator::executeLoop(std::size_t Index) {
  while (!Stopping)
    if (auto Work = WorkQueues[Index]->pop(DecidePeriod))
      (*Work)();
}

void Coordinator::decideLoop() {
  while (!Stopping) {
    auto Received = Events.pop(DecidePeriod);
    bool AnyEvent = Received.has_value();
    while (Received) {
      std::visit([this](const auto &Each) { handle(Each); }, *Received);
      Received = Events.pop(Milliseconds(0));
    }
    const Instant Now = monotonicNow();
    if (CurrentStage == Stage::Settling)
      tryFinishSettling(Now);
    if (CurrentStage == Stage::Deciding &&
        (AnyEvent || Now - LastDecisionAt >= DecidePeriod)) {
      if (EventsDropped.exchange(false))
        resync();
      detectLosses(Now);
      decide(Now);
      removeOldJobs(Now);
    }
    publishDump();
  }
}

void Coordinator::handle(const RoleEvent &Received) {
  HeldEpoch = Received.HeldEpoch;
  Gangs = GangTracker();
  Workers.clear();
  ScheduledJobs.clear();
  JobsToAdopt.clear();
  RecordWriter.clear();
  JobScheduler.reset();
  CurrentStage = Stage::Idle;
  if (HeldEpoch == Epoch())
    return;
  SchedulerOptions Options;
  Options.Policy = Opts.Policy;
  JobScheduler = std::make_unique<Scheduler>(Options);
  CurrentStage = Stage::Listing;
  StageStartedAt = monotonicNow();
  listJobsAndEntries();
  for (const auto &Each : Membership.alive(
           wire::WORKER, Milliseconds(Opts.WorkerSilenceMs), StageStartedAt))
    requestInventory(Each.LastHeartbeat);
}

void Coordinator::listJobsAndEntries() {
  const Epoch ForEpoch = HeldEpoch;
  enqueueWork("list", [this, ForEpoch] {
    ListingEvent Listing;
    Listing.ForEpoch = ForEpoch;
    while (!Stopping) {
      auto Jobs = JobRecords.listFromStore();
      const auto Entries = ClusterStore.list("entries/" + Opts.Cell + "/");
      if (!Jobs || !Entries) {
        std::this_thread::sleep_for(DecidePeriod);
        continue;
      }
      Listing.Jobs = std::move(*Jobs);
      for (const StoreEntry &Each : Entries->Entries) {
        wire::EntryRecord Entry;
        if (Entry.ParseFromString(Each.Value))
          Listing.Entries.insert(Entry.node());
      }
      break;
    }
    postEvent(std::move(Listing));
  });
}

void Coordinator::requestInventory(const wire::Heartbeat &Heartbeat) {
  WorkerState &Worker = Workers[Heartbeat.node()];
  Worker = WorkerState();
  Worker.Incarnation = Heartbeat.incarnation();
  Worker.LastHeartbeatAt = monotonicNow();
  Worker.Address = Heartbeat.rpc_address();
  Worker.InventoryPending = true;
  const Epoch ForEpoch = HeldEpoch;
  enqueueWork(Heartbeat.node(), [this, ForEpoch, Heartbeat] {
    InventoryEvent Event;
    Event.ForEpoch = ForEpoch;
    Event.Heartbeat = Heartbeat;
    const auto Reply = Actions.inventory(Heartbeat.rpc_address(), ForEpoch);
    Event.Accepted = Reply.has_value();
    if (Reply)
      *Event.Heartbeat.mutable_worker()->mutable_parts() = Reply->parts();
    postEvent(std::move(Event));
  });
}

void Coordinator::handle(const ListingEvent &Received) {
  if (Received.ForEpoch != HeldEpoch || CurrentStage != Stage::Listing)
    return;
  JobsToAdopt = Received.Jobs;
  std::set<std::string> Others = Received.Entries;
  Others.erase(Opts.Node);
  LossDetector.reset(Others, monotonicNow());
  CurrentStage = Stage::Settling;
  StageStartedAt = monotonicNow();
}

void Coordinator::handle(const InventoryEvent &Received) {
  if (Received.ForEpoch != HeldEpoch || CurrentStage == Stage::Idle)
    return;
  WorkerState &Worker = Workers[Received.Heartbeat.node()];
  if (Worker.Incarnation != Received.Heartbeat.incarnation())
    return;
  Worker.InventoryPending = false;
  Worker.Ready = Received.Accepted;
  if (!Worker.Ready)
    return;
  updateScheduler(Received.Heartbeat);
  if (CurrentStage == Stage::Deciding)
    handleWorkerReport(Received.Heartbeat);
}

void Coordinator::tryFinishSettling(Instant Now) {
  const bool AnyPending =
      std::any_of(Workers.begin(), Workers.end(), [](const auto &Pair) {
        return Pair.second.InventoryPending;
      });
  // Right after the whole deployment has started, it takes a moment until the
  // first worker heartbeats arrive.
  const bool WithinTimeout = Now - StageStartedAt < SettleTimeout;
  if (WithinTimeout && (AnyPending || Workers.empty()))
    return;
  applyGuarantees();
  for (const StoredJob &Job : JobsToAdopt)
    adoptJob(Job);
  JobsToAdopt.clear();
  CurrentStage = Stage::Deciding;
  LOG4CPLUS_INFO(logOf("coordinator"), "Started scheduling for "
                                           << Workers.size()
                                           << " workers in epoch " << HeldEpoch
                                           << ".");
  resync();
}

void Coordinator::adoptJob(const StoredJob &Job) {
  const wire::JobRecord &Record = Job.Record;
  if (hasEnded(Record) || !ScheduledJobs.insert(Record.id()).second)
    return;
  const JobInfo Info = jobInfoOf(Record);
  if (Record.state() == wire::QUEUED) {
    JobScheduler->jobQueued(Info, monotonicNow());
  } else {
    std::vector<Placement> Members;
    TrackedGang Gang;
    Gang.Job = Info.Id;
    Gang.Number = Attempt(Record.attempt());
    Gang.CheckpointedProgress = Milliseconds(Record.progress_ms());
    Gang.AbsenceCountsFrom = monotonicNow();
    for (const auto &Member : Record.members()) {
      Members.push_back({NodeId(Member.node()), Member.tasks()});
      Gang.Members.push_back(Member);
    }
    Gangs.add(Gang);
    JobScheduler->jobRunning(Info, Gang.Number, Members, Record.borrowed(),
                             toMonotonic(std::max(Record.started_at_ms(),
                                                  Record.submitted_at_ms())));
  }
  JobScheduler->attemptUsed(Info.Id, Attempt(Record.attempt()),
                            Milliseconds(Record.progress_ms()));
  if (Record.cancel_requested())
    JobScheduler->jobCancelled(Info.Id, monotonicNow());
}

void Coordinator::applyGuarantees() {
  const auto Configuration = Configurations.current();
  JobScheduler->setGuarantees(guaranteesOf(*Configuration));
  JobScheduler->setCompletionWeight(Configuration->CompletionWeight);
}

void Coordinator::handle(const ConfigurationEvent &) {
  if (CurrentStage == Stage::Deciding)
    applyGuarantees();
}

void Coordinator::handle(const JobEvent &Received) {
  if (CurrentStage != Stage::Deciding)
    return;
  // Events may arrive out of order; use the newest record.
  StoredJob Newest;
  if (!JobRecords.find(JobId(Received.Job.Record.id()), Newest))
    return;
  const wire::JobRecord &Record = Newest.Record;
  if (hasEnded(Record)) {
    ScheduledJobs.erase(Record.id());
    return;
  }
  if (ScheduledJobs.count(Record.id()) == 0) {
    adoptJob(Newest);
    return;
  }
  const JobId Id(Record.id());
  if (Record.state() == wire::QUEUED)
    JobScheduler->attemptUsed(Id, Attempt(Record.attempt()),
                              Milliseconds(Record.progress_ms()));
  if (Record.cancel_requested())
    JobScheduler->jobCancelled(Id, monotonicNow());
}

void Coordinator::handle(const HeartbeatEvent &Received) {
  const wire::Heartbeat &Heartbeat = Received.Heartbeat;
  const Instant Now = monotonicNow();
  if (CurrentStage == Stage::Idle)
    return;
  if (Heartbeat.kind() == wire::ENTRY) {
    LossDetector.entryHeartbeat(Heartbeat, Now);
    return;
  }
  const auto Found = Workers.find(Heartbeat.node());
  if (Found == Workers.end() ||
      Found->second.Incarnation < Heartbeat.incarnation()) {
    requestInventory(Heartbeat);
    return;
  }
  WorkerState &Worker = Found->second;
  if (Heartbeat.incarnation() < Worker.Incarnation)
    return;
  Worker.LastHeartbeatAt = Now;
  if (!Worker.Ready && !Worker.InventoryPending)
    requestInventory(Heartbeat);
  if (!Worker.Ready || CurrentStage != Stage::Deciding)
    return;
  updateScheduler(Heartbeat);
  handleWorkerReport(Heartbeat);
}

void Coordinator::updateScheduler(const wire::Heartbeat &Heartbeat) {
  Workers[Heartbeat.node()].Schedulable = true;
  JobScheduler->workerSeen(workerInfoOf(Heartbeat), monotonicNow());
}

void Coordinator::handleWorkerReport(const wire::Heartbeat &Heartbeat) {
  const Instant Now = monotonicNow();
  for (TrackedGang *Gang : Gangs.gangsOn(Heartbeat.node()))
    handleTransition(*Gang, Gangs.handleReport(*Gang, Heartbeat, Now));
  for (const wire::GangPart &Part : Heartbeat.worker().parts())
    if (Part.phase() == wire::RUNNING && Part.memory_mb_per_task() > 0) {
      Stats.count("usage_reports");
      JobScheduler->usageReported(JobId(Part.job()), Part.memory_mb_per_task());
    }
  stopStrayParts(Heartbeat);
}

void Coordinator::stopStrayParts(const wire::Heartbeat &Heartbeat) {
  for (const auto &Part : Gangs.strayParts(Heartbeat)) {
    if (Part.phase() == wire::RESERVED)
      continue;
    StopOrder Order;
    Order.IssuerEpoch = HeldEpoch;
    Order.Job = JobId(Part.job());
    Order.Number = Attempt(Part.attempt());
    Order.Forget = true;
    wire::GangMember Member;
    Member.set_node(Heartbeat.node());
    Member.set_rpc_address(Heartbeat.rpc_address());
    Order.Members.push_back(Member);
    Stats.count("stray_parts_stopped");
    enqueueWork(Part.job(), [this, Order] { Actions.stop(Order); });
  }
}

void Coordinator::handle(const EndRecordedEvent &Received) {
  TrackedGang *Gang = Gangs.find(Received.Job, Received.Number);
  if (!Gang || !Gang->Ended)
    return;
  StopOrder Order = stopOrderOf(*Gang);
  Order.Forget = true;
  enqueueWork(Received.Job.str(), [this, Order] { Actions.stop(Order); });
  Gangs.erase(Received.Job, Received.Number);
}

void Coordinator::handle(const StartFinishedEvent &Received) {
  const StartOrder &Order = Received.Order;
  TrackedGang *Gang = Gangs.find(Order.Job, Order.Number);
  if (Order.IssuerEpoch != HeldEpoch || !Gang)
    return;
  if (Received.Outcome.MayRun) {
    Gang->AbsenceCountsFrom = monotonicNow() + StartReportDelay;
    return;
  }
  LOG4CPLUS_INFO(logOf("coordinator"), "Gang of job "
                                           << Order.Job << " not started: "
                                           << Received.Outcome.Reason.Detail);
  Stats.count("starts_refused");
  Gangs.erase(Order.Job, Order.Number);
  JobScheduler->gangRefused(Order.Job, Order.Number,
                            NodeId(Received.Outcome.RefusingNode),
                            monotonicNow());
  StoredJob CurrentJob;
  if (JobRecords.find(Order.Job, CurrentJob))
    JobScheduler->attemptUsed(Order.Job, Attempt(CurrentJob.Record.attempt()),
                              Milliseconds(CurrentJob.Record.progress_ms()));
}

/// Processes all jobs and worker heartbeats again, after events were dropped or
/// when scheduling starts.
void Coordinator::resync() {
  for (const StoredJob &Job : JobRecords.all())
    handle(JobEvent{Job});
  for (const auto &Each : Membership.alive(
           wire::WORKER, Milliseconds(Opts.WorkerSilenceMs), monotonicNow()))
    handle(HeartbeatEvent{Each.LastHeartbeat});
}

void Coordinator::publishDump() {
  auto Out = makeDump();
  static const char *const StageNames[] = {"idle", "listing", "settling",
                                           "deciding"};
  Out->set("stage", StageNames[static_cast<int>(CurrentStage)]);
  Out->set("epoch", HeldEpoch.value());
  Out->set("events_waiting", Events.size());
  Out->set("events_capacity", Events.capacity());
  Out->set("events_refused", Events.refused());
  std::size_t OrdersWaiting = 0;
  std::size_t OrdersRefused = 0;
  for (const auto &Queue : WorkQueues) {
    OrdersWaiting += Queue->size();
    OrdersRefused += Queue->refused();
  }
  Out->set("orders_waiting", OrdersWaiting);
  Out->set("orders_capacity", ExecutorCount * WorkQueueCapacity);
  Out->set("orders_refused", OrdersRefused);
  Out->set("records_waiting", RecordWriter.size());
  Out->set("gangs", Gangs.all().size());
  Out->set("workers_known", Workers.size());
  if (JobScheduler) {
    const SchedulerStats CurrentStats = JobScheduler->stats();
    Out->set("jobs_queued", CurrentStats.Queued);
    Out->set("jobs_running", CurrentStats.Running);
    Out->set("accelerators_free", CurrentStats.FreeAccelerators);
    Out->set("accelerators", CurrentStats.TotalAccelerators);
    Out->set("workers_quarantined", CurrentStats.Quarantined);
    Out->set("guarantee_cells_unpackable", CurrentStats.UnpackableCells);
    Out->set("reclaims", CurrentStats.Reclaims);
    Out->set("compactions", CurrentStats.Compactions);
  }
  const std::lock_guard<std::mutex> Lock(DumpMutex);
  PublishedDump = Out;
}

Poco::JSON::Object::Ptr Coordinator::dump() const {
  const std::lock_guard<std::mutex> Lock(DumpMutex);
  return PublishedDump;
}

} // namespace baobabcove
