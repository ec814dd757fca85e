#ifndef BAOBABCOVE_TASKS_COORDINATION_TASKRUNTIMES_H
#define BAOBABCOVE_TASKS_COORDINATION_TASKRUNTIMES_H

#include "runtime_model/RunTimeModel.h"
#include "runtime_model/SiblingRuns.h"
#include "runtime_model/WorkerSpeeds.h"
#include "tasks/TaskJob.h"
#include "tasks/planning/DurationEstimator.h"

#include <string>
#include <vector>

namespace baobabcove {

struct RunTimeSettings {
  /// Whether run times and speeds of workers are learned. Otherwise durations
  /// are means by queue, speeds are one, and stalls have a fixed timeout.
  bool Learns = true;
  /// Factor by which work away from its data takes longer.
  double RemotePenalty = 3;
  /// How long a resumed run takes to restore its state.
  Milliseconds Restore{500};
};

/// Durations of the tasks of one step at nominal speed near their data.
struct StepTimes {
  DurationEstimate Nominal;
  /// Expected duration of one task, and of the longest.
  Milliseconds Task{0};
  Milliseconds Longest{0};
};

/// What is known about how long tasks run, in terms of jobs and workers. Its
/// state is not stored; it is learned again after a takeover.
class TaskRunTimes {
public:
  explicit TaskRunTimes(const RunTimeSettings &Settings) : Settings(Settings) {}

  bool learns() const { return Settings.Learns; }

  void noteWorker(const wire::TaskReport &Report);
  /// Learns the speed of a worker from the pace of a run there.
  void noteProgress(TaskJob &Job, std::size_t At);
  /// Learns from a task, or from the gang of a task, that was completed by its
  /// current run.
  void noteDone(const TaskJob &Job, std::size_t At, BootInstant Now);

  /// Returns the distribution of the duration of one task at nominal speed
  /// near its data.
  DurationEstimate estimate(const wire::TaskJobSpec &Spec,
                            const wire::StepSpec &Step) const;
  /// Returns its median; without learning, the mean of the queue.
  Milliseconds expected(const wire::TaskJobSpec &Spec,
                        const wire::StepSpec &Step) const;
  StepTimes timesOf(const wire::TaskJobSpec &Spec,
                    const wire::StepSpec &Step) const;
  /// Returns the expected time that a step, which is not done, needs if its
  /// waiting tasks start now. \p First is its first task.
  Milliseconds remainingOfStep(const TaskJob &Job, std::size_t First,
                               const StepTimes &Times, BootInstant Now) const;
  /// Returns the expected time until a placed task is done. \p Nominal is the
  /// duration of the task at nominal speed.
  Milliseconds remaining(const TaskJob &Job, std::size_t At,
                         const DurationEstimate &Nominal,
                         BootInstant Now) const;
  /// Returns by how much longer work of \p Duration takes away from its data.
  Milliseconds remoteCost(Milliseconds Duration) const;
  /// Returns the time for which the work of a run has made progress so far.
  Milliseconds workDone(const TaskJob &Job, std::size_t At) const;
  /// Returns for how long a run may show no progress before it is stalled; at
  /// least \p Minimum.
  Milliseconds stallTimeout(const TaskJob &Job, std::size_t At,
                            Milliseconds Minimum) const;

  /// Returns the time until the run of a task, or of its gang, ends at its
  /// pace, or nothing if the pace is not known.
  std::optional<Milliseconds> timeToEnd(const TaskJob &Job, std::size_t At,
                                        BootInstant Now) const;
  /// Returns the seconds that a stop of the run, and with it of its gang, loses
  /// in total of all members: the work since the last checkpoint, and the
  /// restore.
  double secondsLostByStop(const TaskJob &Job, std::size_t At,
                           BootInstant Now) const;

  /// Returns the speed of a worker for its placement score: one until it is
  /// known, and rounded, since small differences are not significant.
  double placementSpeed(const NodeId &Node) const;
  WorkerSpeed speedOf(const NodeId &Node) const { return Speeds.speedOf(Node); }
  const RunTimeModel &model() const { return Model; }
  const WorkerSpeeds &speeds() const { return Speeds; }
  /// Returns the ratios of predicted to actual duration of the runs since the
  /// last call.
  std::vector<double> takePredictionRatios();

private:
  /// Returns the factor by which a task takes longer on its worker, for the
  /// distance from its data or from the other members of its gang.
  double remoteFactor(const TaskJob &Job, std::size_t At) const;
  /// Returns how long all work of the current run would have taken near its
  /// data on its worker, or nothing if the run does not tell.
  std::optional<Milliseconds> localDuration(const TaskJob &Job, std::size_t At,
                                            BootInstant End) const;
  /// Adds a run, or a projection of one, to the runs of its step.
  void compare(const TaskJob &Job, std::size_t At, Milliseconds Local);
  bool isInRack(const WorkerIncarnation &Worker, const std::string &Rack) const;

  RunTimeSettings Settings;
  RunTimeModel Model;
  WorkerSpeeds Speeds;
  SiblingRuns Siblings;
  BoundedTable<NodeId, std::string> Racks{4096};
  std::vector<double> PredictionRatios;
  /// Used while learning is off.
  DurationEstimator QueueMeans;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_TASKRUNTIMES_H
