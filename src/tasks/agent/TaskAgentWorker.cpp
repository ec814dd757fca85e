/// \file
/// The part of TaskAgent that follows the incarnations of its worker.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/agent/TaskAgent.h"

#include <utility>

namespace baobabcove {

namespace {

/// Sequence number of a worker that is known by its answers only.
constexpr std::int64_t NoHeartbeat = -1;
/// A worker that has started again may be cold for as long as it has sent no
/// heartbeat, which it does by then.
constexpr Milliseconds MaxFirstHeartbeatDelay{2000};
/// Delay before a candidate is called again.
constexpr Milliseconds CandidateRetryDelay{150};
/// How long a worker that is reported as gone may take to start again under its
/// id and bar the starts that it did not answer. An urgent job has 1.7 s to
/// spare, of which the end of its worker takes up to 0.6 s to be certain.
constexpr Milliseconds SameIdRestartWait{600};
/// How often that wait is checked.
constexpr Milliseconds SameIdCheckPeriod{100};

} // namespace

void TaskAgent::onHeartbeat(const WorkerHeartbeat &Heartbeat) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!isOnHost(Heartbeat.Address, Settings.Host)) {
    Stats.count("heartbeats_of_other_hosts");
    LOG4CPLUS_WARN(logOf("worker"),
                   LogFields("heartbeat of another host ignored")
                       .add("id", Heartbeat.Id)
                       .add("service", Heartbeat.Service)
                       .add("address", Heartbeat.Address)
                       .add("host", Settings.Host));
    return;
  }
  if (isOfWorker(Heartbeat)) {
    updateWorker(Heartbeat);
    return;
  }
  Candidates.add(Heartbeat, BootClock::now());
  StateChanged.notify_all();
}

bool TaskAgent::isOfWorker(const WorkerHeartbeat &Heartbeat) const {
  return hasWorker() && Heartbeat.Id == Worker->Id &&
         Heartbeat.StartedAtMs == Worker->StartedAtMs;
}

void TaskAgent::updateWorker(const WorkerHeartbeat &Heartbeat) {
  // Another writer may name the worker with a service or an address that is not
  // its own.
  const bool HasOtherService = Worker->Sequence == NoHeartbeat
                                   ? !Candidates.names(Heartbeat.Service)
                                   : Heartbeat.Service != Worker->Service;
  if (Heartbeat.Sequence <= Worker->Sequence || HasOtherService ||
      Heartbeat.Address != Worker->Address)
    return;
  const bool IsFirst = Worker->Sequence == NoHeartbeat;
  const bool StartsDraining = Heartbeat.Draining && !Worker->Draining;
  const bool NewCapacity = Heartbeat.MilliCores != Worker->MilliCores ||
                           Heartbeat.MemoryMb != Worker->MemoryMb ||
                           Heartbeat.Accelerators != Worker->Accelerators;
  Worker = Heartbeat;
  IsEndAnnounced = false;
  ColdUntil = BootClock::now() + Heartbeat.ColdRemaining;
  if (StartsDraining)
    LOG4CPLUS_INFO(logOf("worker"),
                   LogFields("worker is draining")
                       .add("worker", WorkerName)
                       .add("remaining_ms", Heartbeat.Remaining.count()));
  if (NewCapacity)
    LOG4CPLUS_INFO(logOf("worker"),
                   LogFields("worker's capacity changed")
                       .add("worker", WorkerName)
                       .add("milli_cores", Heartbeat.MilliCores)
                       .add("memory_mb", Heartbeat.MemoryMb)
                       .add("accelerators", Heartbeat.Accelerators));
  if (IsFirst || StartsDraining || NewCapacity) {
    ReportPending = true;
    ReportNeeded.notify_all();
  }
}

void TaskAgent::onWorkerLeft(const std::string &Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!hasWorker() || Worker->Id != Id)
    return;
  LOG4CPLUS_INFO(
      logOf("worker"),
      LogFields("worker announced its end").add("worker", WorkerName));
  IsEndAnnounced = true;
}

void TaskAgent::candidateLoop() {
  for (;;) {
    std::vector<WorkerCandidate> Due;
    std::uint64_t Departed = 0;
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      const auto HasWork = [&] {
        if (!Stopping && Term != Epoch())
          Due = Candidates.due(BootClock::now());
        return Stopping || !Due.empty();
      };
      // Orders for an absent worker that could not be resolved at once are
      // resolved when the wait for its restart ends.
      while (awaitsSameId(BootClock::now()) &&
             !StateChanged.wait_for(Lock, SameIdCheckPeriod, HasWork))
        queueOrders();
      queueOrders();
      StateChanged.wait(
          Lock, [&] { return HasWork() || awaitsSameId(BootClock::now()); });
      if (Stopping)
        return;
      Departed = DepartedWorkers;
    }
    for (const WorkerCandidate &Each : Due)
      callCandidate(Each);
    std::unique_lock<std::mutex> Lock(Mutex);
    StateChanged.wait_for(Lock, CandidateRetryDelay, [&] {
      return Stopping || DepartedWorkers != Departed;
    });
  }
}

void TaskAgent::callCandidate(WorkerCandidate Candidate) {
  const WorkerHeartbeat &Heartbeat = Candidate.Heartbeat;
  Epoch AtTerm;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    AtTerm = Term;
  }
  if (!Candidate.Link)
    Candidate.Link = Links(Heartbeat);
  const auto Listing =
      Candidate.Link->renewAndList(Milliseconds(0), 0, Milliseconds(0), AtTerm);
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::string EarlierDoubt = std::exchange(Candidate.Doubt, "");
  if (!Listing)
    Candidate.Doubt = Listing.error().Detail;
  else if (Listing->StartedAtMs != Heartbeat.StartedAtMs)
    Candidate.Doubt =
        "the worker there started at " + std::to_string(Listing->StartedAtMs);
  if (!Candidate.Doubt.empty() && Candidate.Doubt != EarlierDoubt) {
    Stats.count("candidates_doubted");
    LOG4CPLUS_WARN(
        logOf("worker"),
        LogFields("announced worker does not answer for itself")
            .add("candidate", incarnationOf(Settings.Node, Heartbeat.Id,
                                            Heartbeat.StartedAtMs))
            .add("address", Heartbeat.Address)
            .add("worker", WorkerName)
            .add("why", Candidate.Doubt));
  }
  Candidates.noteCall(Candidate);
  // Nothing that it answers later can prove a candidate that another worker has
  // contradicted.
  if (Listing && !Candidate.Doubt.empty())
    (void)Candidates.take(Candidate);
  // All leases of a silent worker have to expire before it is given up.
  const bool HasEnded = !hasWorker() || (!Liveness.answers() &&
                                         Lease.hasExpired(BootClock::now()));
  if (Candidate.Doubt.empty() && HasEnded)
    adopt(Candidates.take(Candidate));
}

void TaskAgent::adopt(const WorkerCandidate &Candidate) {
  const WorkerHeartbeat &Heartbeat = Candidate.Heartbeat;
  const WorkerIncarnation Name =
      incarnationOf(Settings.Node, Heartbeat.Id, Heartbeat.StartedAtMs);
  if (hasWorker())
    noteEnd();
  LOG4CPLUS_INFO(logOf("worker"),
                 LogFields("worker announced")
                     .add("worker", Name)
                     .add("was", WorkerName)
                     .add("service", Heartbeat.Service)
                     .add("address", Heartbeat.Address)
                     .add("rack", Heartbeat.Rack)
                     .add("accelerators", Heartbeat.Accelerators)
                     .add("draining", Heartbeat.Draining)
                     .add("sequence", Heartbeat.Sequence));
  resetWorkerState();
  // A worker that is adopted again may have starts of an earlier agent.
  IsSoleAgent = !WorkerName.str().empty() && Name != LostWorker;
  WorkerName = Name;
  Worker = Heartbeat;
  ColdUntil = Candidate.HeardAt + Heartbeat.ColdRemaining;
  Link = Candidate.Link;
  for (const RunId &Run : Late.reaching(Heartbeat.Id, BootClock::now()))
    Lease.requireBar(Run);
  ReportPending = true;
  ReportNeeded.notify_all();
  StateChanged.notify_all();
}

void TaskAgent::adoptRestarted(std::int64_t StartedAtMs) {
  // Rack and room stay with the machine. Its kind may be another one, so that
  // it has no other label before its first heartbeat, and it may be cold.
  WorkerCandidate Restarted;
  Restarted.Heartbeat.Id = Worker->Id;
  Restarted.Heartbeat.StartedAtMs = StartedAtMs;
  Restarted.Heartbeat.Sequence = NoHeartbeat;
  Restarted.Heartbeat.Service = Worker->Service;
  Restarted.Heartbeat.Address = Worker->Address;
  Restarted.Heartbeat.MilliCores = Worker->MilliCores;
  Restarted.Heartbeat.MemoryMb = Worker->MemoryMb;
  Restarted.Heartbeat.Accelerators = Worker->Accelerators;
  Restarted.Heartbeat.Rack = Worker->Rack;
  if (!Worker->Rack.str().empty())
    Restarted.Heartbeat.Labels = {Worker->Rack.str()};
  Restarted.Heartbeat.ColdRemaining = MaxFirstHeartbeatDelay;
  Restarted.HeardAt = BootClock::now();
  Restarted.Link = Links(Restarted.Heartbeat);
  adopt(Candidates.take(Restarted));
}

bool TaskAgent::hasWorker() const {
  return Worker && !WorkerName.str().empty() && !isDeparted(WorkerName);
}

void TaskAgent::noteEnd() {
  if (IsEndAnnounced || Worker->Draining)
    LeftWorker = WorkerName;
  LostWorker = Listed || IsSoleAgent ? WorkerName : WorkerIncarnation();
  AreLostRunsComplete = IsSoleAgent;
  LostRuns.clear();
  for (const RunId &Run : StartsSent)
    LostRuns[Run] = false;
  for (const wire::RunStatus &Run : Running)
    LostRuns[{Run.task(), Run.run()}] = true;
  for (const wire::RunEnd &End : Ends)
    LostRuns.erase({End.task(), End.run()});
  const BootInstant Now = BootClock::now();
  // An earlier agent may have sent the unresolved ones.
  std::set<RunId> Unanswered = RunOrders.unresolved();
  Unanswered.insert(StartsSent.begin(), StartsSent.end());
  for (const RunId &Run : Unanswered)
    if (!isRunning(Run))
      Late.addUnanswered(Worker->Id, Run, Now);
}

bool TaskAgent::awaitsSameId(BootInstant Now) const {
  return isDeparted(WorkerName) && Now - DepartedAt < SameIdRestartWait;
}

void TaskAgent::departWorker(const std::string &Proof) {
  LOG4CPLUS_WARN(logOf("worker"), LogFields("worker process has ended")
                                      .add("worker", WorkerName)
                                      .add("running", Running.size())
                                      .add("announced", IsEndAnnounced)
                                      .add("proof", Proof));
  noteEnd();
  resetWorkerState();
  Link.reset();
  // The departed worker is reported as an incarnation without runs, so that the
  // coordinator treats the runs of the last incarnation as ended.
  Worker->Draining = true;
  WorkerName = departedIncarnation(Settings.Node, ++DepartedWorkers);
  DepartedAt = BootClock::now();
  Listed = true;
  ListedAt = BootInstant::max();
  ReportPending = true;
  ReportNeeded.notify_all();
  StateChanged.notify_all();
}

void TaskAgent::resetWorkerState() {
  Lease.resetWorker();
  Running.clear();
  Ends.clear();
  RunOrders.clear();
  Limit.forgetHeld();
  StartsSent.clear();
  Orders.Clear();
  Listed = false;
  IsEndAnnounced = false;
  Liveness = WorkerLiveness();
  WorkerClockAt = BootInstant{};
}

} // namespace baobabcove
