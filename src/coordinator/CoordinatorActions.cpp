#include "coordinator/Coordinator.h"

#include "base/Log.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Stands for "never": no part counts as missing until the order to start its
/// gang has been carried out.
constexpr Milliseconds NoAbsenceCheck{24 * 3600 * 1000};
/// Time after the deadline of a stop order at which it is sent again if the end
/// of the gang has not been reported.
constexpr Milliseconds StopRetryDelay{2000};
/// Gang leases after which all members have stopped once one has reported that
/// the gang is broken: one until the lead agent notices, one until the leases
/// of the other members expire, one for a renewal that was in flight, and one
/// as a safety margin.
constexpr int LeasesUntilGangStopped = 4;
constexpr Milliseconds CleanupPeriod{5000};
constexpr std::size_t MaxRemovalsPerCleanup = 50;

} // namespace

void Coordinator::handleTransition(TrackedGang &Gang,
                                   GangTransition Transition) {
  switch (Transition) {
  case GangTransition::None:
    break;
  case GangTransition::AllRunning:
    gangRunning(Gang);
    break;
  case GangTransition::Broken:
    sendStop(Gang, false, Milliseconds(0));
    break;
  case GangTransition::Ended:
    gangEnded(Gang);
    break;
  }
}

void Coordinator::gangRunning(TrackedGang &Gang) {
  JobScheduler->gangStarted(Gang.Job, Gang.Number, monotonicNow());
  const std::uint64_t Number = Gang.Number.value();
  RecordWriter.enqueue(Gang.Job,
                       [Number](wire::JobRecord &Record) {
                         if (Record.attempt() != Number ||
                             Record.state() != wire::STARTING)
                           return false;
                         Record.set_state(wire::JOB_RUNNING);
                         Record.set_may_have_run(true);
                         Record.set_started_at_ms(wallClockMs());
                         return true;
                       },
                       {});
}

void Coordinator::gangEnded(TrackedGang &Gang) {
  recordEnd(Gang);
  JobScheduler->gangEnded(Gang.Job, Gang.Number, Gang.End, monotonicNow());
  Stats.count("gangs_ended");
}

void Coordinator::recordEnd(const TrackedGang &Gang) {
  const std::uint64_t Number = Gang.Number.value();
  const GangEnd End = Gang.End;
  const JobId Job = Gang.Job;
  const Attempt Ended = Gang.Number;
  RecordWriter.enqueue(
      Job,
      [this, Number, End](wire::JobRecord &Record) {
        return Record.attempt() == Number &&
               JobStates.applyGangEnd(Record, End);
      },
      [this, Job, Ended] {
        postEvent(EndRecordedEvent{Job, Ended});
      });
}

void Coordinator::decide(Instant Now) {
  LastDecisionAt = Now;
  const auto StartedAt = std::chrono::steady_clock::now();
  const std::vector<Command> Commands = JobScheduler->decide(Now);
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - StartedAt;
  Stats.sample("decision_us", Took.count());
  for (const Command &Each : Commands)
    std::visit([this](const auto &Order) { carryOut(Order); }, Each);
}

void Coordinator::carryOut(const StartGang &Start) {
  StartOrder Order;
  Order.IssuerEpoch = HeldEpoch;
  Order.Job = Start.Job;
  Order.Number = Start.Number;
  Order.Borrowed = Start.Borrowed;
  Order.ResumeFrom = Start.Resume;
  for (const Placement &Each : Start.Members) {
    const WorkerState &Worker = Workers[Each.Worker.str()];
    wire::GangMember Member;
    Member.set_node(Each.Worker.str());
    Member.set_rpc_address(Worker.Address);
    Member.set_incarnation(Worker.Incarnation);
    Member.set_tasks(Each.Tasks);
    Order.Members.push_back(Member);
  }
  TrackedGang Gang;
  Gang.Job = Start.Job;
  Gang.Number = Start.Number;
  Gang.Members = Order.Members;
  Gang.CheckpointedProgress = Start.Resume;
  Gang.AbsenceCountsFrom = monotonicNow() + NoAbsenceCheck;
  Gangs.add(std::move(Gang));
  Stats.count("gangs_started");
  enqueueWork(Start.Job.str(), [this, Order] {
    StartFinishedEvent Event;
    Event.Order = Order;
    Event.Outcome = Actions.start(Order);
    postEvent(std::move(Event));
  });
}

StopOrder Coordinator::stopOrderOf(const TrackedGang &Gang) const {
  StopOrder Order;
  Order.IssuerEpoch = HeldEpoch;
  Order.Job = Gang.Job;
  Order.Number = Gang.Number;
  Order.Members = Gang.Members;
  return Order;
}

void Coordinator::sendStop(TrackedGang &Gang, bool Checkpoint,
                           Milliseconds Deadline) {
  const Instant Now = monotonicNow();
  if (Gang.StopSent && Now < Gang.RetryStopAt)
    return;
  Gang.StopSent = true;
  Gang.RetryStopAt = Now + Deadline + StopRetryDelay;
  StopOrder Order = stopOrderOf(Gang);
  Order.Checkpoint = Checkpoint;
  Order.Deadline = Deadline;
  enqueueWork(Gang.Job.str(), [this, Order] { Actions.stop(Order); });
}

void Coordinator::carryOut(const StopGang &Stop) {
  LOG4CPLUS_INFO(logOf("coordinator"),
                 "Stopping the gang of job "
                     << Stop.Job << ": " << stopReasonName(Stop.Reason) << ".");
  Stats.count(std::string("stops_") + stopReasonName(Stop.Reason));
  if (TrackedGang *Gang = Gangs.find(Stop.Job, Stop.Number))
    sendStop(*Gang, Stop.Checkpoint, Stop.Deadline);
}

void Coordinator::carryOut(const EndJob &End) {
  const std::uint32_t Code = static_cast<std::uint32_t>(End.Code);
  const bool Cancelled = End.Code == ResultCode::JobCancelled;
  const std::string Detail = End.Detail;
  RecordWriter.enqueue(End.Job,
                       [Code, Cancelled, Detail](wire::JobRecord &Record) {
                         if (hasEnded(Record))
                           return false;
                         Record.set_state(Cancelled ? wire::CANCELLED
                                                    : wire::JOB_FAILED);
                         Record.set_code(Code);
                         Record.set_detail(Detail);
                         Record.set_ended_at_ms(wallClockMs());
                         return true;
                       },
                       {});
}

void Coordinator::detectLosses(Instant Now) {
  for (const std::string &Entry : LossDetector.expiredEntries(Now)) {
    LossDetector.removeEntry(Entry);
    const std::string Key = "entries/" + Opts.Cell + "/" + Entry;
    enqueueWork(Key, [this, Key] {
      const auto Found = ClusterStore.read(Key);
      if (Found && Found->Revision != 0)
        (void)ClusterStore.remove(Key, Found->Revision);
    });
  }
  const Milliseconds WorkerTimeout(Opts.WorkerSilenceMs);
  std::set<std::string> NodesWithGangs;
  for (const auto &[GangKey, Gang] : Gangs.all())
    for (const auto &Member : Gang.Members)
      if (!Gang.Ended)
        NodesWithGangs.insert(Member.node());
  for (auto &[Node, Worker] : Workers) {
    if (Now - Worker.LastHeartbeatAt < WorkerTimeout)
      continue;
    if (Worker.Schedulable) {
      LOG4CPLUS_WARN(
          logOf("coordinator"),
          "Worker " << Node << " is unreachable: heartbeat timeout expired.");
      JobScheduler->workerLost(NodeId(Node), Now);
      Worker.Schedulable = false;
    }
  }
  for (const auto &[GangKey, Gang] : Gangs.all())
    if (Gang.StopSent && !Gang.Ended && Now >= Gang.RetryStopAt)
      sendStop(*Gangs.find(GangKey.first, Attempt(GangKey.second)), false,
               Milliseconds(0));
  releaseBrokenGangs(Now);
  for (const std::string &Node : NodesWithGangs) {
    const auto Found = Workers.find(Node);
    const Instant LastHeartbeatAt =
        Found == Workers.end() ? Instant() : Found->second.LastHeartbeatAt;
    if (!LossDetector.isLost(Node, LastHeartbeatAt, Now))
      continue;
    for (TrackedGang *Gang : Gangs.gangsOn(Node))
      handleTransition(*Gang, Gangs.markMemberLost(*Gang, Node));
  }
}

void Coordinator::releaseBrokenGangs(Instant Now) {
  const auto IsUnreachable = [&](const NodeId &Node) {
    const auto Found = Workers.find(Node.str());
    return Found == Workers.end() || Now - Found->second.LastHeartbeatAt >=
                                         Milliseconds(Opts.WorkerSilenceMs);
  };
  for (const auto &[GangKey, Tracked] : Gangs.all()) {
    if (Tracked.Ended || !Tracked.BrokenSince)
      continue;
    TrackedGang &Gang = *Gangs.find(GangKey.first, Attempt(GangKey.second));
    const GangTransition Transition = Gangs.markUnreachableMembersLost(
        Gang, Now, LeasesUntilGangStopped * Milliseconds(Opts.GangLeaseMs),
        IsUnreachable);
    if (Transition != GangTransition::Ended)
      continue;
    LOG4CPLUS_WARN(logOf("coordinator"),
                   "Marked the unreachable members of job "
                       << Gang.Job
                       << " as lost: a reachable member reported "
                          "that the gang is broken.");
    handleTransition(Gang, Transition);
  }
}

void Coordinator::removeOldJobs(Instant Now) {
  if (Now - LastCleanupAt < CleanupPeriod)
    return;
  LastCleanupAt = Now;
  const std::int64_t Oldest =
      wallClockMs() - std::int64_t(Opts.JobRetentionS) * 1000;
  std::vector<StoredJob> Expired;
  for (const StoredJob &Job : JobRecords.all())
    if (hasEnded(Job.Record) && Job.Record.ended_at_ms() < Oldest &&
        Expired.size() < MaxRemovalsPerCleanup)
      Expired.push_back(Job);
  if (Expired.empty())
    return;
  enqueueWork("cleanup", [this, Expired] {
    for (const StoredJob &Job : Expired)
      (void)JobRecords.remove(JobId(Job.Record.id()), Job.Revision);
  });
}

} // namespace baobabcove
