#include "coordinator/Coordinator.h"

#include "base/Log.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr Milliseconds NeverSettles{24 * 3600 * 1000};
/// A stop whose end is not reported in time is ordered again.
constexpr Milliseconds StopRepeat{2000};
/// After a member has told that it is broken: one lease until the lead
/// notices, one until the others lapse, one for a renewal that was under way,
/// and one to spare.
constexpr int LeasesUntilGangStopped = 4;
constexpr Milliseconds CleanupPeriod{5000};
constexpr std::size_t MaxRemovals = 50;

} // namespace

void Coordinator::news(TrackedGang &Gang, GangNews What) {
  switch (What) {
  case GangNews::Nothing:
    break;
  case GangNews::AllRunning:
    gangRuns(Gang);
    break;
  case GangNews::Broken:
    sendStop(Gang, false, Milliseconds(0));
    break;
  case GangNews::Ended:
    gangEnded(Gang);
    break;
  }
}

void Coordinator::gangRuns(TrackedGang &Gang) {
  Policy->gangStarted(Gang.Job, Gang.Number, monotonicNow());
  const std::uint64_t Number = Gang.Number.value();
  Records.record(Gang.Job,
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
  Policy->gangEnded(Gang.Job, Gang.Number, Gang.End, monotonicNow());
  Figures.count("gangs_ended");
}

void Coordinator::recordEnd(const TrackedGang &Gang) {
  const std::uint64_t Number = Gang.Number.value();
  const GangEnd End = Gang.End;
  const JobId Job = Gang.Job;
  const Attempt Ended = Gang.Number;
  Records.record(
      Job,
      [this, Number, End](wire::JobRecord &Record) {
        const bool Done = End.Result == GangResult::Succeeded;
        if (Record.attempt() != Number || hasEnded(Record) ||
            !Life.move(Record, Done ? "finish" : "requeue"))
          return false;
        Record.set_progress_ms(
            static_cast<std::uint64_t>(End.Progress.count()));
        Record.set_may_have_run(Record.may_have_run() || End.MayHaveRun);
        if (Done)
          Record.set_ended_at_ms(wallClockMs());
        return true;
      },
      [this, Job, Ended] {
        post(RecordedEvent{Job, Ended});
      });
}

void Coordinator::decide(Instant Present) {
  LastDecision = Present;
  const auto Began = std::chrono::steady_clock::now();
  const std::vector<Command> Commands = Policy->decide(Present);
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Began;
  Figures.sample("decision_us", Took.count());
  for (const Command &Each : Commands)
    std::visit([this](const auto &What) { carryOut(What); }, Each);
}

void Coordinator::carryOut(const StartGang &Start) {
  StartOrder Order;
  Order.By = Held;
  Order.Job = Start.Job;
  Order.Number = Start.Number;
  Order.Borrowed = Start.Borrowed;
  Order.Resume = Start.Resume;
  for (const Placement &Each : Start.Members) {
    const WorkerView &View = Workers[Each.Worker.str()];
    wire::GangMember Member;
    Member.set_node(Each.Worker.str());
    Member.set_rpc_address(View.Address);
    Member.set_incarnation(View.Incarnation);
    Member.set_tasks(Each.Tasks);
    Order.Members.push_back(Member);
  }
  TrackedGang Gang;
  Gang.Job = Start.Job;
  Gang.Number = Start.Number;
  Gang.Members = Order.Members;
  Gang.Kept = Start.Resume;
  Gang.SettledAt = monotonicNow() + NeverSettles;
  Gangs.add(std::move(Gang));
  Figures.count("gangs_started");
  act(Start.Job.str(), [this, Order] {
    StartedEvent Event;
    Event.Order = Order;
    Event.Outcome = Actions.start(Order);
    post(std::move(Event));
  });
}

StopOrder Coordinator::stopOrderOf(const TrackedGang &Gang) const {
  StopOrder Order;
  Order.By = Held;
  Order.Job = Gang.Job;
  Order.Number = Gang.Number;
  Order.Members = Gang.Members;
  return Order;
}

void Coordinator::sendStop(TrackedGang &Gang, bool Checkpoint,
                           Milliseconds Deadline) {
  const Instant Present = monotonicNow();
  if (Gang.StopSent && Present < Gang.StopAgainAt)
    return;
  Gang.StopSent = true;
  Gang.StopAgainAt = Present + Deadline + StopRepeat;
  StopOrder Order = stopOrderOf(Gang);
  Order.Checkpoint = Checkpoint;
  Order.Deadline = Deadline;
  act(Gang.Job.str(), [this, Order] { Actions.stop(Order); });
}

void Coordinator::carryOut(const StopGang &Stop) {
  LOG4CPLUS_INFO(logOf("coordinator"),
                 "Stopping " << Stop.Job << ": " << stopReasonName(Stop.Reason)
                             << ".");
  Figures.count(std::string("stops_") + stopReasonName(Stop.Reason));
  if (TrackedGang *Gang = Gangs.find(Stop.Job, Stop.Number))
    sendStop(*Gang, Stop.Checkpoint, Stop.Deadline);
}

void Coordinator::carryOut(const EndJob &End) {
  const std::uint32_t Code = static_cast<std::uint32_t>(End.Code);
  const bool Cancelled = End.Code == ResultCode::JobCancelled;
  const std::string Detail = End.Detail;
  Records.record(End.Job,
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

void Coordinator::judgeLosses(Instant Present) {
  for (const std::string &Entry : Losses.expired(Present)) {
    Losses.forget(Entry);
    const std::string Key = "entries/" + Of.Cell + "/" + Entry;
    act(Key, [this, Key] {
      const auto Found = Platform.read(Key);
      if (Found && Found->Revision != 0)
        (void)Platform.remove(Key, Found->Revision);
    });
  }
  const Milliseconds Silence(Of.WorkerSilenceMs);
  std::set<std::string> Holding;
  for (const auto &[Name, Gang] : Gangs.all())
    for (const auto &Member : Gang.Members)
      if (!Gang.Ended)
        Holding.insert(Member.node());
  for (auto &[Node, View] : Workers) {
    if (Present - View.HeardAt < Silence)
      continue;
    if (View.Listed) {
      LOG4CPLUS_WARN(logOf("coordinator"), "Worker " << Node << " is silent.");
      Policy->workerLost(NodeId(Node), Present);
      View.Listed = false;
    }
  }
  for (const auto &[Name, Gang] : Gangs.all())
    if (Gang.StopSent && !Gang.Ended && Present >= Gang.StopAgainAt)
      sendStop(*Gangs.find(Name.first, Attempt(Name.second)), false,
               Milliseconds(0));
  releaseBrokenGangs(Present);
  for (const std::string &Node : Holding) {
    const auto View = Workers.find(Node);
    const Instant Heard =
        View == Workers.end() ? Instant() : View->second.HeardAt;
    if (!Losses.isGone(Node, Heard, Present))
      continue;
    for (TrackedGang *Gang : Gangs.on(Node))
      news(*Gang, Gangs.memberLost(*Gang, Node));
  }
}

void Coordinator::releaseBrokenGangs(Instant Present) {
  const auto IsSilent = [&](const NodeId &Node) {
    const auto View = Workers.find(Node.str());
    return View == Workers.end() ||
           Present - View->second.HeardAt >= Milliseconds(Of.WorkerSilenceMs);
  };
  for (const auto &[Name, Tracked] : Gangs.all()) {
    if (Tracked.Ended || !Tracked.BrokenSince)
      continue;
    TrackedGang &Gang = *Gangs.find(Name.first, Attempt(Name.second));
    const GangNews What = Gangs.releaseSilent(
        Gang, Present, LeasesUntilGangStopped * Milliseconds(Of.GangLeaseMs),
        IsSilent);
    if (What != GangNews::Ended)
      continue;
    LOG4CPLUS_WARN(logOf("coordinator"),
                   "Silent members of " << Gang.Job
                                        << " have stopped: one in reach told "
                                           "that the gang is broken.");
    news(Gang, What);
  }
}

void Coordinator::removeOldJobs(Instant Present) {
  if (Present - LastCleanup < CleanupPeriod)
    return;
  LastCleanup = Present;
  const std::int64_t Oldest =
      wallClockMs() - std::int64_t(Of.JobRetentionS) * 1000;
  std::vector<StoredJob> Old;
  for (const StoredJob &Job : Book.all())
    if (hasEnded(Job.Record) && Job.Record.ended_at_ms() < Oldest &&
        Old.size() < MaxRemovals)
      Old.push_back(Job);
  if (Old.empty())
    return;
  act("cleanup", [this, Old] {
    for (const StoredJob &Job : Old)
      (void)Book.remove(JobId(Job.Record.id()), Job.Revision);
  });
}

} // namespace baobabcove
