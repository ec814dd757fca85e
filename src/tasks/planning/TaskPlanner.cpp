#include "tasks/planning/TaskPlanner.h"
#include "tasks/planning/FreeCapacity.h"
#include "tasks/planning/PlacementRules.h"
#include "tasks/planning/PreemptionCost.h"
#include "tasks/planning/SpeedPreference.h"
#include "tasks/planning/VictimCost.h"

#include <algorithm>
#include <cmath>
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
  VictimCost Cost;
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
      LogSpeeds.push_back(std::log(Worker.Speed));
    }
    const std::set<double> Distinct(LogSpeeds.begin(), LogSpeeds.end());
    DistinctLogSpeeds.assign(Distinct.begin(), Distinct.end());
    Stopped.resize(In.Preemptible.size());
  }

  TaskPlan run() {
    // Steps of which a single task did not fit. Nothing is freed during a plan,
    // so that the other tasks of the step do not fit either.
    std::set<std::string> FullSteps;
    for (const PlanUnit &Unit : In.Units) {
      if (FullSteps.count(Unit.StepKey))
        continue;
      if (const auto Placement = placeNow(Unit))
        start(Unit, *Placement);
      else if (Unit.Guaranteed)
        reserveOrPreempt(Unit);
      else if (Unit.Isolated)
        keepClear(Unit);
      else if (Unit.AvoidedNodes.empty())
        FullSteps.insert(Unit.StepKey);
    }
    explainWaits();
    return std::move(Out);
  }

private:
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

  /// Selects the workers that pass \p Filter and are not on nodes that \p Unit
  /// avoids.
  WorkerFilter awayFromAvoided(const PlanUnit &Unit,
                               const WorkerFilter &Filter) const {
    return [this, &Unit, Filter](std::size_t W) {
      return Filter(W) && !avoidsNodeOf(Unit, In.Workers[W]);
    };
  }

  std::uint32_t countOn(const PlanUnit &Unit, std::size_t Worker) const {
    const auto Found = In.OnWorker.find({Unit.StepKey, Worker});
    return Found == In.OnWorker.end() ? 0 : Found->second;
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
        Unit.KeepFullyFree && usedShare(In.Workers, Available) >= BusyThreshold;
    std::size_t FullyFreeWorkers =
        KeepsSomeFree ? countFullyFree(In.Workers, Available, Unit) : 0;
    const SpeedPreference Preference(Unit);
    const auto MayUse = [&](std::size_t W) {
      return Filter(W) && Available[W].covers(Need) &&
             isEligible(In.Workers[W], Unit) && mayJoin(In.Workers[W], Unit);
    };
    // The workers are selected once for all members of a gang.
    const bool IsSingle = Unit.Tasks.size() == 1;
    std::vector<std::size_t> Selected;
    for (std::size_t W = 0; !IsSingle && W < In.Workers.size(); ++W)
      if (MayUse(W))
        Selected.push_back(W);
    const std::size_t Choices = IsSingle ? In.Workers.size() : Selected.size();
    Assignment Placement;
    for (std::size_t T = 0; T < Unit.Tasks.size(); ++T) {
      std::size_t Best = In.Workers.size();
      double BestScore = Infinity;
      for (std::size_t Choice = 0; Choice < Choices; ++Choice) {
        const std::size_t W = IsSingle ? Choice : Selected[Choice];
        if (IsSingle ? !MayUse(W) : !Available[W].covers(Need))
          continue;
        if (In.Workers[W].IsCold && Taken[W] >= In.Workers[W].StartsLeft)
          continue;
        if (Limit && countOn(Unit, W) + Taken[W] >= Limit)
          continue;
        if (KeepsSomeFree && isFullyFree(In.Workers[W], Available[W]) &&
            FullyFreeWorkers <= Unit.KeepFullyFree)
          continue;
        const double Score = leftoverScore(In.Workers[W], Available[W], Need) +
                             Preference.ofWorker(LogSpeeds[W]) +
                             (Unit.Isolated ? sharingScore(W) : 0);
        if (Score < BestScore) {
          Best = W;
          BestScore = Score;
        }
      }
      if (Best == In.Workers.size())
        return std::nullopt;
      FullyFreeWorkers -=
          FullyFreeWorkers && isFullyFree(In.Workers[Best], Available[Best])
              ? 1
              : 0;
      Available[Best] -= Need;
      ++Taken[Best];
      Placement.push_back(Best);
    }
    return Placement;
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

  double totalScore(const PlanUnit &Unit, const ResourceList &Available,
                    const Assignment &Placement) const {
    double Sum = 0;
    std::vector<double> Speeds;
    Speeds.reserve(Placement.size());
    for (std::size_t W : Placement) {
      Sum +=
          leftoverScore(In.Workers[W], Available[W], resourcesOf(*Unit.Step));
      Speeds.push_back(LogSpeeds[W]);
    }
    return Sum +
           double(Placement.size()) * SpeedPreference(Unit).ofPlacement(Speeds);
  }

  /// Selects the workers that pass \p Filter and have a speed in \p Range.
  WorkerFilter withSpeed(const WorkerFilter &Filter, SpeedRange Range) const {
    return [this, Filter, Range](std::size_t W) {
      return Range.contains(LogSpeeds[W]) && Filter(W);
    };
  }

  /// Returns \p Group, and the parts of it with similar speeds to which a
  /// placement of \p Unit may be restricted instead.
  std::vector<WorkerFilter> bySpeed(const PlanUnit &Unit,
                                    const WorkerFilter &Group) const {
    std::vector<WorkerFilter> Parts = {Group};
    for (const SpeedRange &Range :
         SpeedPreference(Unit).alternatives(DistinctLogSpeeds))
      Parts.push_back(withSpeed(Group, Range));
    return Parts;
  }

  /// Finds a placement for \p Unit near its data and in one rack as it requires
  /// or, with \p AllowRemote, anywhere if there is none.
  std::optional<Assignment> findPlacement(const PlanUnit &Unit,
                                          const ResourceList &Available,
                                          bool AllowRemote) const {
    const bool AvoidsNodes = canAvoidNodes(In.Workers, Unit);
    const auto Usable = [&](const WorkerFilter &Filter) {
      return AvoidsNodes ? awayFromAvoided(Unit, Filter) : Filter;
    };
    std::optional<Assignment> Best;
    double BestScore = Infinity;
    const auto Consider = [&](const WorkerFilter &Group) {
      for (const WorkerFilter &Part : bySpeed(Unit, Group)) {
        auto Placement = fitOn(Unit, Available, Usable(Part));
        const double Score =
            Placement ? totalScore(Unit, Available, *Placement) : Infinity;
        if (Score < BestScore) {
          Best = std::move(Placement);
          BestScore = Score;
        }
      }
    };
    for (const WorkerFilter &Group : localityGroups(Unit))
      Consider(Group);
    if (!Best && (AllowRemote || Unit.MayShareWorker))
      Consider(&anyWorker);
    return Best;
  }

  /// Finds a placement for \p Unit on what is free: where an earlier round
  /// reserved it, near its data or in one rack, or elsewhere if that is better
  /// than waiting.
  std::optional<Assignment> placeNow(const PlanUnit &Unit) const {
    auto Placement = fitOn(Unit, Free, reservedFor(Unit));
    if (!Placement)
      Placement = findPlacement(Unit, Free, Unit.MayRunRemote);
    if (Placement || Unit.MayRunRemote || !hasLocality(Unit))
      return Placement;
    Placement = findPlacement(Unit, Free, true);
    return Placement && shouldRunRemote(Unit) ? Placement : std::nullopt;
  }

  /// Whether \p Unit, which does not fit near its data or in one rack now, is
  /// better off elsewhere than waiting.
  bool shouldRunRemote(const PlanUnit &Unit) const {
    if (!In.IsCellKnown)
      return false;
    if (!canAnyRackHold(In.Workers, Unit))
      return true;
    // In a mostly free cell the run that takes longer is in nobody's way.
    if (Unit.IsIdleForLong && usedShare(In.Workers, Free) < BusyThreshold)
      return true;
    return !mayFitLocally(Unit, Unit.RemoteCost);
  }

  /// Whether \p Unit may fit near its data or in one rack within \p Limit. Runs
  /// whose end is not known may end by then.
  bool mayFitLocally(const PlanUnit &Unit, Milliseconds Limit) const {
    // An isolated unit waits for a worker without runs, whatever they use.
    if (Unit.Isolated || waitsForQuarantine(In.Workers, Unit))
      return true;
    ResourceList After = afterReleases();
    std::vector<std::uint32_t> KnownEnds(After.size());
    for (const EndingRun &Run : In.Ending) {
      ++KnownEnds[Run.Worker];
      if (Run.In <= Limit)
        After[Run.Worker] += Run.Usage;
    }
    for (std::size_t W = 0; W < After.size(); ++W)
      if (KnownEnds[W] < In.Workers[W].Runs)
        After[W] = In.Workers[W].Capacity;
    return findPlacement(Unit, After, false).has_value();
  }

  /// Explains why units that asked for it were not placed.
  void explainWaits() {
    for (const PlanUnit &Unit : In.Units)
      if (Unit.ExplainsWait) {
        std::vector<PlanWorker> Workers = In.Workers;
        Out.Waits.emplace(Unit.StepKey, waitReason(Unit));
        In.Workers = std::move(Workers);
      }
  }

  /// Lifts one constraint after the other and returns the one without which
  /// \p Unit fits. Changes the workers.
  WaitReason waitReason(const PlanUnit &Unit) {
    const auto Fits = [&](const PlanUnit &Relaxed, bool Remote) {
      return findPlacement(Relaxed, Free, Remote).has_value();
    };
    if (!hasWorkerFor(In.Workers, Unit))
      return WaitReason::NoWorker;
    PlanUnit Relaxed = Unit;
    Relaxed.KeepFullyFree = 0;
    if (Fits(Relaxed, Unit.MayRunRemote))
      return WaitReason::Reserve;
    if (Fits(Relaxed, true))
      return WaitReason::Locality;
    for (PlanWorker &Worker : In.Workers)
      Worker.StartsLeft = std::numeric_limits<std::uint32_t>::max();
    if (Fits(Relaxed, true))
      return WaitReason::ColdLimit;
    Relaxed.Isolated = false;
    for (PlanWorker &Worker : In.Workers)
      Worker.HasSuspect = false;
    if (Fits(Relaxed, true))
      return WaitReason::Isolation;
    Relaxed.AvoidedNodes.clear();
    for (PlanWorker &Worker : In.Workers)
      Worker.AcceptsTasks = true;
    return Fits(Relaxed, true) ? WaitReason::ExcludedWorkers
                               : WaitReason::NoCapacity;
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
      Placement = fitAfterEnds(Unit);
    if (!Placement && Unit.MayPreempt)
      Placement = preempt(Unit);
    if (!Placement)
      return;
    reserve(Unit, *Placement);
    noteReservation(Unit, *Placement);
  }

  /// Finds a placement for \p Unit on what runs release that are expected to
  /// end while it may still wait, so that none needs to be preempted.
  std::optional<Assignment> fitAfterEnds(const PlanUnit &Unit) const {
    ResourceList After = afterReleases();
    bool AnyEnds = false;
    for (const EndingRun &Run : In.Ending)
      if (Run.In <= Unit.MayWait &&
          (!Run.Preemptible || !Stopped[*Run.Preemptible])) {
        After[Run.Worker] += Run.Usage;
        AnyEnds = true;
      }
    if (!AnyEnds)
      return std::nullopt;
    auto Placement = fitOn(Unit, After, reservedFor(Unit));
    return Placement ? Placement
                     : findPlacement(Unit, After, Unit.MayRunRemote);
  }

  std::optional<Assignment> preempt(const PlanUnit &Unit) {
    std::optional<PreemptionPlan> Best;
    for (const WorkerFilter &Group : localityGroups(Unit))
      if (auto Found = planPreemption(Unit, Group);
          Found && (!Best || Found->Cost < Best->Cost))
        Best = std::move(Found);
    if (!Best)
      Best = planPreemption(Unit, &anyWorker);
    if (!Best)
      return std::nullopt;
    for (std::size_t Victim : Best->Victims)
      stopRun(Victim, Unit);
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
      for (std::size_t R : gangOf(In.Preemptible, *Victim)) {
        Removed[R] = true;
        After[In.Preemptible[R].Worker] += In.Preemptible[R].Usage;
      }
    }
    prune(Found);
    VictimCosts Costs = currentCosts(Stopped);
    for (std::size_t Victim : Found.Victims) {
      Found.Cost += Costs.costOf(Victim);
      Costs.take(Victim);
    }
    return Found;
  }

  /// Removes victims that free nothing on the chosen workers.
  void prune(PreemptionPlan &Found) const {
    const auto Frees = [&](std::size_t Victim) {
      for (std::size_t R : gangOf(In.Preemptible, Victim))
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
    const VictimCosts Costs = currentCosts(Removed);
    VictimCost BestCost;
    std::optional<std::size_t> Best;
    for (std::size_t W = 0; W < In.Workers.size(); ++W) {
      if (!Filter(W) || !isEligible(In.Workers[W], Unit) ||
          !mayJoin(In.Workers[W], Unit) || After[W].covers(Need))
        continue;
      const auto [Cost, First] = Costs.untilFits(W, After[W], Need, Removed);
      if (First && (!Best || Cost < BestCost)) {
        BestCost = Cost;
        Best = First;
      }
    }
    return Best;
  }

  /// Returns the costs of further preemptions once the runs in \p Removed have
  /// been stopped.
  VictimCosts currentCosts(const std::vector<bool> &Removed) const {
    VictimCosts Costs(In);
    std::set<std::string> Gangs;
    for (std::size_t R = 0; R < In.Preemptible.size(); ++R)
      if (const std::string &Gang = In.Preemptible[R].Gang;
          Removed[R] && (Gang.empty() || Gangs.insert(Gang).second))
        Costs.take(R);
    return Costs;
  }

  void stopRun(std::size_t Victim, const PlanUnit &For) {
    for (std::size_t R : gangOf(In.Preemptible, Victim)) {
      if (Stopped[R])
        continue;
      Stopped[R] = true;
      Releasing[In.Preemptible[R].Worker] += In.Preemptible[R].Usage;
    }
    Out.Stops.push_back({In.Preemptible[Victim].Job,
                         In.Preemptible[Victim].Task, For.StepKey,
                         In.Preemptible[Victim].Loss});
  }

  PlanInput In;
  /// Resources by worker, updated while the plan is made.
  ResourceList Free;
  ResourceList Releasing;
  /// Logarithms of the workers' speeds, and their distinct values in ascending
  /// order.
  std::vector<double> LogSpeeds;
  std::vector<double> DistinctLogSpeeds;
  TaskPlan Out;
  std::vector<bool> Stopped;
};

} // namespace

TaskPlan planTasks(PlanInput Input) { return Planner(std::move(Input)).run(); }

} // namespace baobabcove
