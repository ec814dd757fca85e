#include "tasks/coordination/TaskRunTimes.h"

#include "base/Log.h"
#include "base/LogFields.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace baobabcove {

namespace {

constexpr std::uint32_t AllWorkDone = 100;
constexpr double MsPerSecond = 1000;

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

/// Placement distinguishes speeds by steps of this logarithm, about 22 %.
constexpr double SpeedStep = 0.2;

constexpr std::size_t MaxPredictionRatios = 1000;

/// Returns the expected ratio of the longest of \p Tasks tasks of a step to
/// their median.
double longestOfStep(std::uint32_t Tasks) {
  // From 14 tasks on, the ratio is limited by the quantile.
  static const std::array<double, 14> Ratios = [] {
    std::array<double, 14> Computed{};
    const DurationEstimate Step{std::log(1e6), StepDeviation * StepDeviation};
    for (std::size_t N = 1; N <= Computed.size(); ++N)
      Computed[N - 1] =
          double(Step.quantile(std::min(std::pow(0.5, 1.0 / double(N)),
                                        MaxStepQuantile))
                     .count()) /
          1e6;
    return Computed;
  }();
  return Ratios[std::clamp<std::size_t>(Tasks, 1, Ratios.size()) - 1];
}

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
  // When a run that was never listed has begun is not known.
  const auto Ran = Task.Listed ? Task.Pace.whole(End) : std::nullopt;
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
    const TaskState &Task = Job.task(At);
    if (Task.Checkpoint.empty() && Task.Listed)
      QueueMeans.add(Job.spec().queue(), Now - Task.FirstListedAt);
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

StepTimes TaskRunTimes::timesOf(const wire::TaskJobSpec &Spec,
                                const wire::StepSpec &Step) const {
  StepTimes Times;
  if (!Settings.Learns) {
    Times.Task = Times.Longest = expected(Spec, Step);
    return Times;
  }
  Times.Nominal = estimate(Spec, Step);
  Times.Task = Times.Longest = Times.Nominal.median();
  // The sample of a gang is its slowest member already.
  if (!Step.gang())
    Times.Longest = times(Times.Task, longestOfStep(Step.count()));
  return Times;
}

Milliseconds TaskRunTimes::remainingOfStep(const TaskJob &Job,
                                           std::size_t First,
                                           const StepTimes &Times,
                                           BootInstant Now) const {
  if (!Settings.Learns)
    return Times.Longest;
  Milliseconds Longest{0};
  for (std::size_t At = First; At < First + Job.step(First).count(); ++At) {
    const TaskState &Task = Job.task(At);
    if (Task.Phase == wire::TASK_WAITING)
      Longest = std::max(Longest, Times.Longest);
    else if (Task.Phase == wire::TASK_PLACED)
      Longest = std::max(Longest, remaining(Job, At, Times.Nominal, Now));
  }
  return Longest;
}

double TaskRunTimes::placementSpeed(const NodeId &Node) const {
  const auto Factor = Speeds.knownFactor(Node);
  if (!Settings.Learns || !Factor)
    return 1;
  return std::exp(std::round(std::log(*Factor) / SpeedStep) * SpeedStep);
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

Milliseconds TaskRunTimes::remoteCost(Milliseconds Duration) const {
  return times(Duration, Settings.RemotePenalty - 1);
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

std::optional<Milliseconds> TaskRunTimes::timeToEnd(const TaskJob &Job,
                                                    std::size_t At,
                                                    BootInstant Now) const {
  if (!Settings.Learns || Job.step(At).long_running())
    return std::nullopt;
  Milliseconds Longest{0};
  const auto [First, End] = unitOf(Job, At);
  for (std::size_t Member = First; Member < End; ++Member) {
    const RunPace &Pace = Job.task(Member).Pace;
    if (Job.step(At).gang() && Pace.percent() >= AllWorkDone)
      continue;
    const auto Left = Pace.remaining(Now);
    if (!Left)
      return std::nullopt;
    Longest = std::max(Longest, *Left);
  }
  return Longest;
}

double TaskRunTimes::secondsLostByStop(const TaskJob &Job, std::size_t At,
                                       BootInstant Now) const {
  const TaskState &Task = Job.task(At);
  const wire::StepSpec &Step = Job.step(At);
  const double Members = Step.gang() ? double(Step.count()) : 1;
  const double RanMs =
      Task.Listed ? double((Now - Task.FirstListedAt).count()) : 0;
  if (!Settings.Learns)
    return (Step.checkpointing() ? 1 : RanMs / MsPerSecond + 0.1) * Members;
  if (Step.checkpointing()) {
    const BootInstant Saved = std::max(Task.CheckpointAt, Task.FirstListedAt);
    return double((Now - Saved + Settings.Restore).count()) / MsPerSecond *
           Members;
  }
  // After a takeover, the start of a run is not known, but its percent is.
  const double AtPaceMs =
      Task.Pace.msPerPercent().value_or(0) * double(Task.Percent);
  return (std::max(RanMs, AtPaceMs) / MsPerSecond + 0.1) * Members;
}

std::vector<double> TaskRunTimes::takePredictionRatios() {
  std::vector<double> Taken;
  std::swap(Taken, PredictionRatios);
  return Taken;
}

} // namespace baobabcove
