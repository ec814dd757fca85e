#include "tasks/planning/TaskPlanner.h"
#include "tasks/planning/PlacementRules.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <set>

namespace baobabcove {

namespace {

/// Workers are kept fully free for urgent units only while at least this share
/// of the accelerators is in use, so that nothing is held back on a mostly idle
/// cell.
constexpr double BusyThreshold = 0.6;

constexpr double Infinity = std::numeric_limits<double>::infinity();

/// Worker indices for the tasks of one unit, in the order of its tasks.
using Assignment = std::vector<std::size_t>;

/// Placement of a unit and the runs to preempt for it.
struct PreemptionPlan {
  Assignment Placement;
  std::vector<std::size_t> Victims;
  double Loss = 0;
};

class Planner {
public:
  explicit Planner(PlanInput Initial) : In(std::move(Initial)) {
    std::stable_sort(
        In.Units.begin(), In.Units.end(),
        [](const PlanUnit &L, const PlanUnit &R) { return L.Rank < R.Rank; });
    for (const PlanWorker &Worker : In.Workers) {
      Free.push_back(Worker.Free);
      Releasing.push_back(Worker.Releasing);
    }
    Stopped.resize(In.Preemptible.size());
  }

  TaskPlan run() {
    // Steps of which a single task did not fit. Nothing is freed during a plan,
    // so that the other tasks of the step do not fit either.
    std::set<std::string> FullSteps;
    for (const PlanUnit &Unit : In.Units) {
      if (FullSteps.count(Unit.StepKey))
        continue;
      auto Placement = fitOn(Unit, Free, reservedFor(Unit));
      if (!Placement)
        Placement = findPlacement(Unit, Free, Unit.MayRunRemote);
      if (Placement)
        start(Unit, *Placement);
      else if (Unit.Guaranteed)
        reserveOrPreempt(Unit);
      else if (Unit.Isolated)
        keepClear(Unit);
      else if (Unit.CrashNodes.empty())
        FullSteps.insert(Unit.StepKey);
    }
    return std::move(Out);
  }

private:
  using ResourceList = std::vector<Resources>;
  /// Whether the worker with an index may be used.
  using WorkerFilter = std::function<bool(std::size_t)>;

  static bool anyWorker(std::size_t) { return true; }

  WorkerFilter inRack(const RackName &Rack) const {
    return [this, Rack](std::size_t W) { return In.Workers[W].Rack == Rack; };
  }

  /// Selects the workers that an earlier round reserved for \p Unit.
  WorkerFilter reservedFor(const PlanUnit &Unit) const {
    const auto Reserved = In.Reservations.find({Unit.Job, Unit.Tasks.front()});
    if (Reserved == In.Reservations.end())
      return [](std::size_t) { return false; };
    return [this, &Incarnations = Reserved->second](std::size_t W) {
      return std::find(Incarnations.begin(), Incarnations.end(),
                       In.Workers[W].Incarnation) != Incarnations.end();
    };
  }

  /// Selects the workers that pass \p Filter and on whose nodes no worker has
  /// crashed under \p Unit.
  WorkerFilter awayFromCrashes(const PlanUnit &Unit,
                               const WorkerFilter &Filter) const {
    return [this, &Unit, Filter](std::size_t W) {
      return Filter(W) && !hasCrashedOn(Unit, In.Workers[W]);
    };
  }

  std::uint32_t countOn(const PlanUnit &Unit, std::size_t Worker) const {
    const auto Found = In.OnWorker.find({Unit.StepKey, Worker});
    return Found == In.OnWorker.end() ? 0 : Found->second;
  }

  /// Returns the resources left after \p Need is taken, relative to the
  /// worker's capacity. Best fit: a low score fills the fullest worker and
  /// keeps the others fully free.
  double leftoverScore(std::size_t W, const Resources &Available,
                       const Resources &Need) const {
    const Resources &Capacity = In.Workers[W].Capacity;
    const auto Share = [](std::int64_t Left, std::int64_t Of) {
      return Of > 0 ? double(Left) / double(Of) : 0.0;
    };
    constexpr double AboveAnyWarmWorker = 100;
    return (In.Workers[W].IsCold ? AboveAnyWarmWorker : 0) +
           2 * Share(Available.Accelerators - Need.Accelerators,
                     Capacity.Accelerators) +
           Share(Available.MemoryMb - Need.MemoryMb, Capacity.MemoryMb) +
           Share(Available.MilliCores - Need.MilliCores, Capacity.MilliCores);
  }

  /// An isolated unit takes the worker with the fewest other runs.
  double sharingScore(std::size_t W) const {
    constexpr double AboveAnyLeftover = 10;
    return AboveAnyLeftover * In.Workers[W].Runs;
  }

  /// Places all tasks of \p Unit on workers that pass \p Filter, best fit
  /// first, within the resources in \p Available. Returns nothing if they do
  /// not all fit.
  std::optional<Assignment> fitOn(const PlanUnit &Unit, ResourceList Available,
                                  const WorkerFilter &Filter) const {
    const Resources Need = resourcesOf(*Unit.Step);
    const std::uint32_t Limit = Unit.Step->spread_limit();
    std::map<std::size_t, std::size_t> Taken;
    const bool KeepsSomeFree =
        Unit.KeepFullyFree && usedShare(Available) >= BusyThreshold;
    std::size_t FullyFreeWorkers =
        KeepsSomeFree ? countFullyFree(Unit, Available) : 0;
    Assignment Placement;
    for (std::size_t T = 0; T < Unit.Tasks.size(); ++T) {
      std::size_t Best = In.Workers.size();
      double BestScore = Infinity;
      for (std::size_t W = 0; W < In.Workers.size(); ++W) {
        if (!Filter(W) || !Available[W].covers(Need) ||
            !isEligible(In.Workers[W], Unit) || !mayJoin(In.Workers[W], Unit))
          continue;
        if (In.Workers[W].IsCold && Taken[W] >= In.Workers[W].StartsLeft)
          continue;
        if (Limit && countOn(Unit, W) + Taken[W] >= Limit)
          continue;
        if (KeepsSomeFree && isFullyFree(W, Available[W]) &&
            FullyFreeWorkers <= Unit.KeepFullyFree)
          continue;
        const double Score = leftoverScore(W, Available[W], Need) +
                             (Unit.Isolated ? sharingScore(W) : 0);
        if (Score < BestScore) {
          Best = W;
          BestScore = Score;
        }
      }
      if (Best == In.Workers.size())
        return std::nullopt;
      FullyFreeWorkers -=
          FullyFreeWorkers && isFullyFree(Best, Available[Best]) ? 1 : 0;
      Available[Best] -= Need;
      ++Taken[Best];
      Placement.push_back(Best);
    }
    return Placement;
  }

  /// Whether all accelerators of a worker are available.
  bool isFullyFree(std::size_t W, const Resources &Available) const {
    const std::int64_t All = In.Workers[W].Capacity.Accelerators;
    return All > 0 && Available.Accelerators == All;
  }

  /// Returns the share of all accelerators that is not available.
  double usedShare(const ResourceList &Available) const {
    std::int64_t All = 0;
    std::int64_t Left = 0;
    for (std::size_t W = 0; W < In.Workers.size(); ++W) {
      All += In.Workers[W].Capacity.Accelerators;
      Left += Available[W].Accelerators;
    }
    return All > 0 ? 1 - double(Left) / double(All) : 0;
  }

  std::size_t countFullyFree(const PlanUnit &Unit,
                             const ResourceList &Available) const {
    std::size_t Count = 0;
    for (std::size_t W = 0; W < In.Workers.size(); ++W)
      Count += isFullyFree(W, Available[W]) && isEligible(In.Workers[W], Unit)
                   ? 1
                   : 0;
    return Count;
  }

  /// Returns the groups of workers within which \p Unit runs without the remote
  /// penalty.
  std::vector<WorkerFilter> localityGroups(const PlanUnit &Unit) const {
    if (!Unit.Step->data_rack().empty())
      return {inRack(RackName(Unit.Step->data_rack()))};
    if (!Unit.Step->same_rack())
      return {&anyWorker};
    std::set<RackName> Racks;
    for (const PlanWorker &Worker : In.Workers)
      if (isEligible(Worker, Unit))
        Racks.insert(Worker.Rack);
    std::vector<WorkerFilter> Groups;
    Groups.reserve(Racks.size());
    for (const RackName &Rack : Racks)
      Groups.push_back(inRack(Rack));
    return Groups;
  }

  double totalLeftoverScore(const PlanUnit &Unit, const ResourceList &Available,
                            const Assignment &Placement) const {
    double Sum = 0;
    for (std::size_t W : Placement)
      Sum += leftoverScore(W, Available[W], resourcesOf(*Unit.Step));
    return Sum;
  }

  /// Finds a placement for \p Unit near its data and in one rack as it requires
  /// or, with \p AllowRemote, anywhere if there is none.
  std::optional<Assignment> findPlacement(const PlanUnit &Unit,
                                          const ResourceList &Available,
                                          bool AllowRemote) const {
    const bool AvoidsCrashes = canAvoidCrashes(In.Workers, Unit);
    const auto Usable = [&](const WorkerFilter &Filter) {
      return AvoidsCrashes ? awayFromCrashes(Unit, Filter) : Filter;
    };
    std::optional<Assignment> Best;
    double BestScore = Infinity;
    for (const WorkerFilter &Group : localityGroups(Unit)) {
      auto Placement = fitOn(Unit, Available, Usable(Group));
      const double Score = Placement
                               ? totalLeftoverScore(Unit, Available, *Placement)
                               : Infinity;
      if (Score < BestScore) {
        Best = std::move(Placement);
        BestScore = Score;
      }
    }
    if (!Best && (AllowRemote || Unit.MayShareWorker))
      return fitOn(Unit, Available, Usable(&anyWorker));
    return Best;
  }

  void reserve(const PlanUnit &Unit, const Assignment &Placement) {
    for (std::size_t W : Placement) {
      Free[W] -= resourcesOf(*Unit.Step);
      ++In.OnWorker[{Unit.StepKey, W}];
    }
  }

  void start(const PlanUnit &Unit, const Assignment &Placement) {
    for (std::size_t T = 0; T < Placement.size(); ++T)
      Out.Starts.push_back({Unit.Job, Unit.Tasks[T], Placement[T]});
    reserve(Unit, Placement);
    for (std::size_t W : Placement) {
      PlanWorker &Worker = In.Workers[W];
      ++Worker.Runs;
      Worker.StartsLeft -= Worker.StartsLeft > 0 ? 1 : 0;
      Worker.HasRunOnProbation = true;
      Worker.HasSuspect = Worker.HasSuspect || Unit.Isolated;
    }
  }

  /// Keeps new runs away from workers on which an isolated unit fits, until the
  /// runs there have survived their probation or ended. Otherwise short runs
  /// could follow each other there without end.
  void keepClear(const PlanUnit &Unit) {
    if (!Unit.MayShareWorker)
      return;
    PlanUnit Sharing = Unit;
    Sharing.Isolated = false;
    auto Placement = fitOn(Sharing, Free, reservedFor(Unit));
    if (!Placement)
      Placement = findPlacement(Sharing, Free, Unit.MayRunRemote);
    if (!Placement)
      return;
    reserve(Unit, *Placement);
    for (std::size_t W : *Placement)
      In.Workers[W].HasSuspect = true;
    noteReservation(Unit, *Placement);
  }

  void noteReservation(const PlanUnit &Unit, const Assignment &Placement) {
    std::vector<WorkerIncarnation> &Reserved =
        Out.Reservations[{Unit.Job, Unit.Tasks.front()}];
    for (std::size_t W : Placement)
      Reserved.push_back(In.Workers[W].Incarnation);
  }

  /// Returns the free resources once all stopping runs have ended.
  ResourceList afterReleases() const {
    ResourceList After = Free;
    for (std::size_t W = 0; W < After.size(); ++W)
      After[W] += Releasing[W];
    return After;
  }

  /// Reserves resources that stopping runs will release, or preempts the runs
  /// with the least loss. A reservation of an earlier round is kept while it
  /// remains possible; otherwise more runs would be preempted elsewhere while
  /// other tasks fill the first place again.
  void reserveOrPreempt(const PlanUnit &Unit) {
    auto Placement = fitOn(Unit, afterReleases(), reservedFor(Unit));
    if (!Placement)
      Placement = findPlacement(Unit, afterReleases(), Unit.MayRunRemote);
    if (!Placement && Unit.MayPreempt)
      Placement = preempt(Unit);
    if (!Placement)
      return;
    reserve(Unit, *Placement);
    noteReservation(Unit, *Placement);
  }

  std::optional<Assignment> preempt(const PlanUnit &Unit) {
    std::optional<PreemptionPlan> Best;
    for (const WorkerFilter &Group : localityGroups(Unit))
      if (auto Found = planPreemption(Unit, Group);
          Found && (!Best || Found->Loss < Best->Loss))
        Best = std::move(Found);
    if (!Best)
      Best = planPreemption(Unit, &anyWorker);
    if (!Best)
      return std::nullopt;
    for (std::size_t Victim : Best->Victims)
      stopRun(Victim);
    return Best->Placement;
  }

  /// Returns the preemptions that let \p Unit fit on workers that pass
  /// \p Filter, or nothing.
  std::optional<PreemptionPlan>
  planPreemption(const PlanUnit &Unit, const WorkerFilter &Filter) const {
    PreemptionPlan Found;
    ResourceList After = afterReleases();
    std::vector<bool> Removed = Stopped;
    for (;;) {
      if (auto Placement = fitOn(Unit, After, Filter)) {
        Found.Placement = std::move(*Placement);
        break;
      }
      const auto Victim = cheapestVictim(Unit, After, Removed, Filter);
      if (!Victim)
        return std::nullopt;
      Found.Victims.push_back(*Victim);
      for (std::size_t R : gangOf(*Victim)) {
        Removed[R] = true;
        After[In.Preemptible[R].Worker] += In.Preemptible[R].Usage;
      }
    }
    prune(Found);
    for (std::size_t Victim : Found.Victims)
      Found.Loss += In.Preemptible[Victim].Loss;
    return Found;
  }

  /// Returns \p Run and the other members of its gang, which end with it.
  std::vector<std::size_t> gangOf(std::size_t Run) const {
    std::vector<std::size_t> Group;
    for (std::size_t R = 0; R < In.Preemptible.size(); ++R)
      if (R == Run || (!In.Preemptible[R].Gang.empty() &&
                       In.Preemptible[R].Gang == In.Preemptible[Run].Gang))
        Group.push_back(R);
    return Group;
  }

  /// Removes victims that free nothing on the chosen workers.
  void prune(PreemptionPlan &Found) const {
    const auto Frees = [&](std::size_t Victim) {
      for (std::size_t R : gangOf(Victim))
        if (std::find(Found.Placement.begin(), Found.Placement.end(),
                      In.Preemptible[R].Worker) != Found.Placement.end())
          return true;
      return false;
    };
    Found.Victims.erase(
        std::remove_if(Found.Victims.begin(), Found.Victims.end(),
                       [&](std::size_t Victim) { return !Frees(Victim); }),
        Found.Victims.end());
  }

  /// Returns the first run to preempt on the worker that needs the least loss
  /// to fit one more task of \p Unit.
  std::optional<std::size_t> cheapestVictim(const PlanUnit &Unit,
                                            const ResourceList &After,
                                            const std::vector<bool> &Removed,
                                            const WorkerFilter &Filter) const {
    const Resources Need = resourcesOf(*Unit.Step);
    double BestLoss = Infinity;
    std::optional<std::size_t> Best;
    for (std::size_t W = 0; W < In.Workers.size(); ++W) {
      if (!Filter(W) || !isEligible(In.Workers[W], Unit) ||
          !mayJoin(In.Workers[W], Unit) || After[W].covers(Need))
        continue;
      const auto [Loss, First] = preemptionLoss(W, After[W], Need, Removed);
      if (First && Loss < BestLoss) {
        BestLoss = Loss;
        Best = First;
      }
    }
    return Best;
  }

  /// Returns the loss of preempting runs on worker \p W until \p Need fits, and
  /// the first of these runs.
  std::pair<double, std::optional<std::size_t>>
  preemptionLoss(std::size_t W, Resources Available, const Resources &Need,
                 const std::vector<bool> &Removed) const {
    std::vector<std::size_t> Runs;
    for (std::size_t R = 0; R < In.Preemptible.size(); ++R)
      if (In.Preemptible[R].Worker == W && !Removed[R])
        Runs.push_back(R);
    std::sort(Runs.begin(), Runs.end(), [&](std::size_t L, std::size_t R) {
      return In.Preemptible[L].Loss < In.Preemptible[R].Loss;
    });
    double Loss = 0;
    std::optional<std::size_t> First;
    for (std::size_t R : Runs) {
      if (Available.covers(Need))
        break;
      if (!First)
        First = R;
      Loss += In.Preemptible[R].Loss;
      Available += In.Preemptible[R].Usage;
    }
    return Available.covers(Need) ? std::make_pair(Loss, First)
                                  : std::make_pair(Infinity, std::nullopt);
  }

  void stopRun(std::size_t Victim) {
    for (std::size_t R : gangOf(Victim)) {
      if (Stopped[R])
        continue;
      Stopped[R] = true;
      Releasing[In.Preemptible[R].Worker] += In.Preemptible[R].Usage;
    }
    Out.Stops.push_back(
        {In.Preemptible[Victim].Job, In.Preemptible[Victim].Task});
  }

  PlanInput In;
  /// Resources by worker, updated while the plan is made.
  ResourceList Free;
  ResourceList Releasing;
  TaskPlan Out;
  std::vector<bool> Stopped;
};

} // namespace

TaskPlan planTasks(PlanInput Input) { return Planner(std::move(Input)).run(); }

} // namespace baobabcove
