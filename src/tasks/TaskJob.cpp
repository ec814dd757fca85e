#include "tasks/TaskJob.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

namespace baobabcove {

namespace {

constexpr std::uint32_t NotPopulated =
    std::numeric_limits<std::uint32_t>::max();
/// A start takes two messages and a write to the store. A worker that has not
/// begun a run this long after its placement does not answer, or refuses.
constexpr Milliseconds MaxStartDelay{1000};

} // namespace

std::string toText(const TaskName &Name) {
  return Name.Job.str() + "." + std::to_string(Name.Occurrence) + "." +
         std::to_string(Name.Step) + "." + std::to_string(Name.Index);
}

std::string stepKey(const TaskName &Name) {
  return Name.Job.str() + "." + std::to_string(Name.Occurrence) + "." +
         std::to_string(Name.Step);
}

std::optional<TaskName> parseTaskName(const std::string &Text) {
  const Poco::StringTokenizer Parts(Text, ".");
  if (Parts.count() != 4)
    return std::nullopt;
  std::array<unsigned, 3> Numbers{};
  for (std::size_t I = 0; I < Numbers.size(); ++I)
    if (!Poco::NumberParser::tryParseUnsigned(Parts[I + 1], Numbers[I]))
      return std::nullopt;
  return TaskName{JobId(Parts[0]), Numbers[0], Numbers[1], Numbers[2]};
}

std::uint64_t taskCount(const wire::TaskJobSpec &Spec) {
  std::uint64_t Count = 0;
  for (const wire::StepSpec &Step : Spec.steps())
    Count += Step.count();
  return Count * std::max<std::uint64_t>(1, Spec.repeat_count());
}

std::uint64_t unfinishedSize(const wire::TaskJobSpec &Spec) {
  const auto &Steps = Spec.steps();
  return taskCount(Spec) +
         static_cast<std::uint64_t>(std::count_if(
             Steps.begin(), Steps.end(),
             [](const wire::StepSpec &Step) { return Step.count() == 0; }));
}

void removeRepeatedDependencies(wire::StepSpec &Step) {
  std::set<std::uint32_t> Seen;
  auto &After = *Step.mutable_after();
  After.erase(std::remove_if(After.begin(), After.end(),
                             [&](std::uint32_t Earlier) {
                               return !Seen.insert(Earlier).second;
                             }),
              After.end());
}

Milliseconds TaskState::seenAlive() const {
  return Listed ? LastListedAt - FirstListedAt : Milliseconds(0);
}

TaskJob::TaskJob(std::shared_ptr<const wire::TaskJobSpec> JobSpec)
    : Spec(std::move(JobSpec)) {
  for (const wire::StepSpec &Step : Spec->steps()) {
    const bool IsPopulated = Step.count() > 0;
    PopulatedIndexes.push_back(
        IsPopulated ? static_cast<std::uint32_t>(PopulatedSteps.size())
                    : NotPopulated);
    if (IsPopulated)
      PopulatedSteps.push_back(static_cast<std::uint32_t>(StepOffsets.size()));
    StepOffsets.push_back(TasksPerOccurrence);
    TasksPerOccurrence += Step.count();
  }
  if (TasksPerOccurrence > 0)
    Occurrences = std::max<std::uint32_t>(1, Spec->repeat_count());
  Tasks.resize(TasksPerOccurrence * Occurrences);
}

void TaskJob::restore(const wire::TaskJobProgress &Stored) {
  for (const wire::TaskRecord &Record : Stored.tasks()) {
    const auto At =
        position({id(), Record.occurrence(), Record.step(), Record.index()});
    if (!At)
      continue;
    TaskState &Task = Tasks[*At];
    Task.Phase = Record.phase();
    Task.Run = Record.run();
    Task.HasBegun = Stored.begun() && Task.Run > 0;
    Task.Worker = WorkerIncarnation(Record.worker());
    Task.Failures = FailedRuns::fromRecord(Record);
    Task.Checkpoint = Record.checkpoint();
    Task.Crashes = CrashHistory::fromRecord(Record.crashes());
    Task.Lost = Record.lost();
    Task.StopRequested = Task.Lost;
    Task.Preempted = Record.preempted();
  }
  Failed = Stored.failed();
  Completed = Stored.completed();
  Begun = Stored.begun();
  EndedMs = Stored.ended_ms();
  restoreUnits();
}

void TaskJob::restoreUnits() {
  std::size_t Members = 1;
  for (std::size_t First = 0; First < Tasks.size(); First += Members) {
    Members = step(First).gang() ? step(First).count() : 1;
    const auto Begin = Tasks.begin() + static_cast<std::ptrdiff_t>(First);
    const auto End = Begin + static_cast<std::ptrdiff_t>(Members);
    // The members of a gang are placed together. One that waits has ended, and
    // the others are being stopped.
    const bool IsBroken = std::any_of(Begin, End, [](const TaskState &Member) {
      return Member.Phase == wire::TASK_WAITING;
    });
    for (auto Task = Begin; Task != End; ++Task)
      if (Task->Phase == wire::TASK_PLACED && (Failed || IsBroken))
        Task->StopRequested = true;
    // The latest run may have been counted once one of its members has ended.
    if (Begin->Failures.lacksNumbers())
      Begin->Failures.ignoreThrough(IsBroken ? Begin->Run : Begin->Run - 1);
  }
}

void TaskJob::releaseTasks() { std::vector<TaskState>().swap(Tasks); }

wire::TaskJobProgress TaskJob::progress() const {
  wire::TaskJobProgress Stored;
  for (std::size_t At = 0; At < Tasks.size(); ++At) {
    const TaskState &Task = Tasks[At];
    if (Task.Run == 0 && Task.Phase == wire::TASK_WAITING)
      continue;
    const TaskName Name = name(At);
    wire::TaskRecord &Record = *Stored.add_tasks();
    Record.set_occurrence(Name.Occurrence);
    Record.set_step(Name.Step);
    Record.set_index(Name.Index);
    Record.set_phase(Task.Phase);
    Record.set_run(Task.Run);
    if (Task.Phase == wire::TASK_PLACED)
      Record.set_worker(Task.Worker.str());
    Record.set_lost(Task.Lost);
    Record.set_preempted(Task.Preempted);
    Task.Failures.store(Record);
    if (Task.Phase != wire::TASK_DONE)
      Record.set_checkpoint(Task.Checkpoint);
    if (!Task.Crashes.empty())
      *Record.mutable_crashes() = Task.Crashes.toRecord();
  }
  Stored.set_failed(Failed);
  Stored.set_completed(Completed);
  Stored.set_begun(Begun);
  Stored.set_ended_ms(EndedMs);
  return Stored;
}

std::optional<std::size_t> TaskJob::position(const TaskName &Name) const {
  if (Tasks.empty() || Name.Occurrence >= Occurrences ||
      Name.Step >= StepOffsets.size() ||
      Name.Index >= Spec->steps(static_cast<int>(Name.Step)).count())
    return std::nullopt;
  return first(Name.Occurrence, Name.Step) + Name.Index;
}

std::uint32_t TaskJob::stepNumber(std::size_t At) const {
  const auto Next = std::upper_bound(StepOffsets.begin(), StepOffsets.end(),
                                     At % TasksPerOccurrence);
  // Steps without tasks share an offset; the task belongs to the last of them.
  return static_cast<std::uint32_t>(Next - StepOffsets.begin() - 1);
}

TaskName TaskJob::name(std::size_t At) const {
  const std::uint32_t Step = stepNumber(At);
  return {
      id(), static_cast<std::uint32_t>(At / TasksPerOccurrence), Step,
      static_cast<std::uint32_t>(At % TasksPerOccurrence - StepOffsets[Step])};
}

std::size_t TaskJob::firstOfUnit(std::size_t At) const {
  if (!step(At).gang())
    return At;
  const TaskName Name = name(At);
  return first(Name.Occurrence, Name.Step);
}

const wire::StepSpec &TaskJob::step(std::size_t At) const {
  return Spec->steps(static_cast<int>(stepNumber(At)));
}

std::size_t TaskJob::first(std::uint32_t Occurrence, std::uint32_t Step) const {
  return Occurrence * TasksPerOccurrence + StepOffsets[Step];
}

std::optional<std::size_t> TaskJob::populatedIndex(std::uint32_t Step) const {
  const std::uint32_t Index = PopulatedIndexes[Step];
  return Index == NotPopulated ? std::nullopt
                               : std::make_optional<std::size_t>(Index);
}

std::int64_t TaskJob::dueMs(std::uint32_t Occurrence) const {
  if (Spec->repeat_count() == 0)
    return 0;
  return Spec->first_due_ms() + Occurrence * Spec->interval_ms();
}

bool TaskJob::hasUnbegunTask(std::size_t First, std::size_t Count) const {
  const auto Begin = Tasks.begin() + static_cast<std::ptrdiff_t>(First);
  return std::any_of(Begin, Begin + static_cast<std::ptrdiff_t>(Count),
                     [](const TaskState &Task) {
                       return Task.Phase != wire::TASK_DONE && !Task.Listed;
                     });
}

bool TaskJob::hasPlacedTasks() const {
  return std::any_of(Tasks.begin(), Tasks.end(), [](const TaskState &Task) {
    return Task.Phase == wire::TASK_PLACED;
  });
}

bool TaskJob::hasTasksAtWork(BootInstant Now) const {
  return std::any_of(Tasks.begin(), Tasks.end(), [&](const TaskState &Task) {
    return Task.Phase == wire::TASK_PLACED &&
           (Task.Listed || Now - Task.PlacedAt < MaxStartDelay);
  });
}

bool TaskJob::areAllDone() const {
  return std::all_of(Tasks.begin(), Tasks.end(), [](const TaskState &Task) {
    return Task.Phase == wire::TASK_DONE;
  });
}

StepProgress::StepProgress(const TaskJob &Job) : Job(Job) {
  Done.reserve(Job.occurrences() * Job.populatedSteps().size());
  for (std::uint32_t Occurrence = 0; Occurrence < Job.occurrences();
       ++Occurrence)
    for (const std::uint32_t Step : Job.populatedSteps()) {
      std::size_t At = Job.first(Occurrence, Step);
      const std::size_t End =
          At + Job.spec().steps(static_cast<int>(Step)).count();
      while (At < End && Job.task(At).Phase == wire::TASK_DONE)
        ++At;
      Done.push_back(At == End);
    }
}

bool StepProgress::isDone(std::uint32_t Occurrence, std::uint32_t Step) const {
  const auto Index = Job.populatedIndex(Step);
  return !Index || Done[Occurrence * Job.populatedSteps().size() + *Index];
}

bool StepProgress::isReady(std::uint32_t Occurrence, std::uint32_t Step,
                           std::int64_t NowUnixMs) const {
  const auto &After = Job.spec().steps(static_cast<int>(Step)).after();
  return NowUnixMs >= Job.dueMs(Occurrence) &&
         std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
           return isDone(Occurrence, Earlier);
         });
}

JobStatus JobFlags::status() const {
  if (Completed)
    return JobStatus::Completed;
  if (Failed)
    return JobStatus::Failed;
  if (Cancelled)
    return JobStatus::Cancelled;
  return Begun ? JobStatus::Running : JobStatus::Pending;
}

} // namespace baobabcove
