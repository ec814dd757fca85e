#include "tasks/coordination/TaskRunTimes.h"

#include "base/Log.h"
#include "base/LogFields.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

constexpr std::uint32_t AllWorkDone = 100;

/// A run without progress is stalled after this multiple of the time that one
/// percent takes at its pace. The percent is a whole number and reports arrive
/// twice a second, so that single intervals differ by a factor of two.
constexpr double StallPaceMultiple = 4;
/// A pace over fewer percent may be much too fast if delayed reports arrived
/// together; the expected duration is a second limit then.
constexpr std::uint32_t ReliablePacePercent = 3;
/// Before the first percent, the limit follows from a duration that few runs
/// exceed: this quantile, or the tail in which 3 of 100 tasks take seven times
/// as long.
constexpr double StallQuantile = 0.999;
constexpr double TailFactor = 7;
constexpr double StallEstimateMultiple = 2;
/// The limit doubles each time that a stall moves a task, up to this number of
/// times, so that an estimate that is far too low cannot restart it forever.
constexpr std::uint32_t MaxDoublings = 6;

/// Standard deviation of the logarithms of the work of a step's tasks, and the
/// highest quantile used for the longest of them.
constexpr double StepDeviation = 0.25;
constexpr double MaxStepQuantile = 0.95;

/// The pace of a run is used again after this much progress.
constexpr std::uint32_t PaceUsePercent = 25;

constexpr std::size_t MaxPredictionRatios = 1000;

TaskKind kindOf(const wire::TaskJobSpec &Spec, const wire::StepSpec &Step) {
  return {Spec.queue(), Step.image(), Spec.workspace(),
          static_cast<std::uint32_t>(
              std::max<std::int64_t>(Step.accelerators(), 0)),
          Step.count()};
}

std::string stepName(const TaskJob &Job, std::size_t At) {
  const TaskName Name = Job.name(At);
  return Name.Job.str() + "." + std::to_string(Name.Occurrence) + "." +
         std::to_string(Name.Step);
}

Milliseconds times(Milliseconds Duration, double Factor) {
  return Milliseconds(static_cast<std::int64_t>(
      std::lround(static_cast<double>(Duration.count()) * Factor)));
}

/// Returns the tasks of the gang of a task, or the task alone.
std::pair<std::size_t, std::size_t> unitOf(const TaskJob &Job, std::size_t At) {
  const std::size_t First = Job.firstOfUnit(At);
  return {First, First + (Job.step(At).gang() ? Job.step(At).count() : 1)};
}

} // namespace

void TaskRunTimes::noteWorker(const wire::TaskReport &Report) {
  if (!Settings.Learns || isDeparted(WorkerIncarnation(Report.worker())))
    return;
  const NodeId Node(Report.node());
  Racks.update(Node) = Report.rack();
  WorkerTraits Traits;
  Traits.Incarnation = Report.worker();
  Traits.Capacity = {Report.milli_cores(), Report.memory_mb(),
                     Report.accelerators()};
  Traits.Labels.assign(Report.labels().begin(), Report.labels().end());
  Speeds.noteWorker(Node, Traits);
}

bool TaskRunTimes::isInRack(const WorkerIncarnation &Worker,
                            const std::string &Rack) const {
  const std::string *Known = Racks.find(nodeOf(Worker));
  return !Known || *Known == Rack;
}

double TaskRunTimes::remoteFactor(const TaskJob &Job, std::size_t At) const {
  const wire::StepSpec &Step = Job.step(At);
  const WorkerIncarnation &Worker = Job.task(At).Worker;
  if (!Step.data_rack().empty() && !isInRack(Worker, Step.data_rack()))
    return Settings.RemotePenalty;
  if (!Step.same_rack())
    return 1;
  const std::string *Rack = Racks.find(nodeOf(Worker));
  const auto [First, End] = unitOf(Job, At);
  for (std::size_t Member = First; Rack && Member < End; ++Member)
    if (!isInRack(Job.task(Member).Worker, *Rack))
      return Settings.RemotePenalty;
  return 1;
}

std::optional<Milliseconds> TaskRunTimes::localDuration(const TaskJob &Job,
                                                        std::size_t At,
                                                        BootInstant End) const {
  const TaskState &Task = Job.task(At);
  // A member of a gang that is done stays at 100 percent until the slowest is.
  if (Task.Listed && Job.step(At).gang() && Task.Pace.percent() >= AllWorkDone)
    End = Task.Pace.changedAt();
  std::optional<Milliseconds> Ran;
  if (Task.Listed)
    Ran = Task.Pace.whole(End);
  else if (!Task.Pace.isResumed() && Task.PlacedAt != BootInstant{})
    Ran = End - Task.PlacedAt;
  if (!Ran || Ran->count() <= 0)
    return std::nullopt;
  return times(*Ran, 1 / remoteFactor(Job, At));
}

void TaskRunTimes::compare(const TaskJob &Job, std::size_t At,
                           Milliseconds Local) {
  const NodeId Node = nodeOf(Job.task(At).Worker);
  const std::string Step = stepName(Job, At);
  Siblings.add(Step, Node, toText(Job.name(At)), Local);
  for (const NodeId &Known :
       Siblings.updateSpeeds(Step, estimate(Job.spec(), Job.step(At)), Speeds))
    LOG4CPLUS_INFO(logOf("worker"),
                   LogFields("worker's speed learned")
                       .add("node", Known)
                       .add("speed", Speeds.speedOf(Known).Factor)
                       .add("confidence", Speeds.speedOf(Known).Confidence));
}

void TaskRunTimes::noteProgress(TaskJob &Job, std::size_t At) {
  TaskState &Task = Job.task(At);
  if (!Settings.Learns || Job.step(At).long_running() ||
      (Task.PaceUsedAt && Task.Percent < Task.PaceUsedAt + PaceUsePercent))
    return;
  const auto Projected = Task.Pace.projected();
  if (!Projected)
    return;
  Task.PaceUsedAt = Task.Percent;
  compare(Job, At, times(*Projected, 1 / remoteFactor(Job, At)));
}

void TaskRunTimes::noteDone(const TaskJob &Job, std::size_t At,
                            BootInstant Now) {
  const wire::StepSpec &Step = Job.step(At);
  if (!Settings.Learns) {
    if (Job.task(At).Checkpoint.empty())
      QueueMeans.add(Job.spec().queue(), Now - Job.task(At).PlacedAt);
    return;
  }
  if (Step.long_running())
    return;
  Milliseconds Longest{0};
  const auto [First, End] = unitOf(Job, At);
  for (std::size_t Member = First; Member < End; ++Member) {
    const auto Local = localDuration(Job, Member, Now);
    if (!Local)
      continue;
    compare(Job, Member, *Local);
    const double Speed = speedOf(nodeOf(Job.task(Member).Worker)).Factor;
    Longest = std::max(Longest, times(*Local, Speed));
  }
  if (Longest.count() <= 0)
    return;
  if (PredictionRatios.size() < MaxPredictionRatios)
    PredictionRatios.push_back(
        std::exp(estimate(Job.spec(), Step).LogMean - logOfDuration(Longest)));
  Model.add(kindOf(Job.spec(), Step), Milliseconds(Step.estimate_ms()),
            Longest);
}

DurationEstimate TaskRunTimes::estimate(const wire::TaskJobSpec &Spec,
                                        const wire::StepSpec &Step) const {
  return Model.estimate(kindOf(Spec, Step), Milliseconds(Step.estimate_ms()));
}

Milliseconds TaskRunTimes::expected(const wire::TaskJobSpec &Spec,
                                    const wire::StepSpec &Step) const {
  if (!Settings.Learns)
    return QueueMeans.expected(Spec.queue(), Milliseconds(Step.estimate_ms()));
  return estimate(Spec, Step).median();
}

Milliseconds TaskRunTimes::longestOf(const wire::TaskJobSpec &Spec,
                                     const wire::StepSpec &Step) const {
  // A gang's sample is its slowest member already.
  if (!Settings.Learns || Step.gang() || Step.count() <= 1)
    return expected(Spec, Step);
  DurationEstimate Task = estimate(Spec, Step);
  Task.LogVariance = StepDeviation * StepDeviation;
  return Task.quantile(
      std::min(std::pow(0.5, 1.0 / Step.count()), MaxStepQuantile));
}

Milliseconds TaskRunTimes::remaining(const TaskJob &Job, std::size_t At,
                                     const DurationEstimate &Nominal,
                                     BootInstant Now) const {
  const TaskState &Task = Job.task(At);
  if (const auto AtPace = Task.Pace.remaining(Now); Task.Listed && AtPace)
    return *AtPace;
  const DurationEstimate Here = scaled(
      Nominal, remoteFactor(Job, At) / speedOf(nodeOf(Task.Worker)).Factor);
  if (!Task.Listed)
    return Here.median();
  if (!Task.Pace.isResumed())
    return Here.remaining(Now - Task.FirstListedAt, 0.5);
  const std::uint32_t Left = AllWorkDone - std::min(Task.Percent, AllWorkDone);
  return times(Here.median(), double(Left) / AllWorkDone);
}

Milliseconds TaskRunTimes::workDone(const TaskJob &Job, std::size_t At) const {
  const TaskState &Task = Job.task(At);
  const auto Pace = Task.Pace.msPerPercent();
  const double MsPerPercent =
      Settings.Learns && Task.Listed && Pace
          ? *Pace
          : double(expected(Job.spec(), Job.step(At)).count()) / AllWorkDone;
  return Milliseconds(
      static_cast<std::int64_t>(MsPerPercent * double(Task.Percent)));
}

Milliseconds TaskRunTimes::stallTimeout(const TaskJob &Job, std::size_t At,
                                        Milliseconds Minimum) const {
  if (!Settings.Learns)
    return Minimum;
  const TaskState &Task = Job.task(At);
  const auto Pace = Task.Pace.msPerPercent();
  double Timeout = Pace ? StallPaceMultiple * *Pace : 0;
  if (!Pace || Task.Pace.measuredPercent() < ReliablePacePercent) {
    const DurationEstimate Nominal = estimate(Job.spec(), Job.step(At));
    const double Long =
        std::max(double(Nominal.quantile(StallQuantile).count()),
                 TailFactor * double(Nominal.median().count()));
    // A speed above the nominal one may be an error of the model.
    const double Factor = remoteFactor(Job, At) /
                          std::min(speedOf(nodeOf(Task.Worker)).Factor, 1.0);
    const double Restore =
        Task.Pace.isResumed() ? double(Settings.Restore.count()) : 0;
    Timeout = std::max(
        Timeout, StallEstimateMultiple * Long * Factor / AllWorkDone + Restore);
  }
  const double Doubled = std::ldexp(
      Timeout, static_cast<int>(std::min(Task.StallMoves, MaxDoublings)));
  return std::max(Milliseconds(static_cast<std::int64_t>(Doubled)), Minimum);
}

std::vector<double> TaskRunTimes::takePredictionRatios() {
  std::vector<double> Taken;
  std::swap(Taken, PredictionRatios);
  return Taken;
}

} // namespace baobabcove
