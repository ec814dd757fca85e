#include "tasks/TaskPlanner.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <set>

namespace baobabcove {

namespace {

/// Whole workers are left to urgent units only while at least this share of
/// the accelerators is taken: nothing is held back while most room is free.
constexpr double BusyShare = 0.6;

constexpr double Never = std::numeric_limits<double>::infinity();

/// Where the tasks of one unit go, in the order of its tasks.
using Spots = std::vector<std::size_t>;

/// How room can be made for a unit: where it goes, and what is stopped.
struct Way {
  Spots Where;
  std::vector<std::size_t> Victims;
  double Loss = 0;
};

class Planner {
public:
  explicit Planner(PlanInput Given) : In(std::move(Given)) {
    std::stable_sort(
        In.Units.begin(), In.Units.end(),
        [](const PlanUnit &L, const PlanUnit &R) { return L.Rank < R.Rank; });
    for (const PlanWorker &Worker : In.Workers) {
      Free.push_back(Worker.Free);
      Leaving.push_back(Worker.Leaving);
    }
    Stopped.resize(In.Stoppable.size());
  }

  TaskPlan run() {
    for (const PlanUnit &Unit : In.Units) {
      auto Where = fit(Unit, Free, keptFor(Unit));
      if (!Where)
        Where = find(Unit, Free, Unit.MayRunFar);
      if (Where)
        start(Unit, *Where);
      else if (Unit.Guaranteed)
        makeRoom(Unit);
    }
    return std::move(Out);
  }

private:
  using Rooms = std::vector<Room>;
  /// Whether a worker, by its position, may be used.
  using Allowed = std::function<bool(std::size_t)>;

  static bool anywhere(std::size_t) { return true; }

  Allowed inRack(const RackName &Rack) const {
    return [this, Rack](std::size_t W) { return In.Workers[W].Rack == Rack; };
  }

  /// The workers on which an earlier round made room for \p Unit.
  Allowed keptFor(const PlanUnit &Unit) const {
    const auto Kept = In.Kept.find({Unit.Job, Unit.Tasks.front()});
    if (Kept == In.Kept.end())
      return [](std::size_t) { return false; };
    return [this, &Lives = Kept->second](std::size_t W) {
      return std::find(Lives.begin(), Lives.end(), In.Workers[W].Life) !=
             Lives.end();
    };
  }

  bool suits(const PlanWorker &Worker, const PlanUnit &Unit) const {
    const std::string &Label = Unit.Step->required_label();
    return Worker.Open && Worker.Service == Unit.Service &&
           (Label.empty() ||
            std::find(Worker.Labels.begin(), Worker.Labels.end(), Label) !=
                Worker.Labels.end());
  }

  std::uint32_t countOn(const PlanUnit &Unit, std::size_t Worker) const {
    const auto Found = In.OnWorker.find({Unit.StepKey, Worker});
    return Found == In.OnWorker.end() ? 0 : Found->second;
  }

  /// The room that is left when \p Need is taken, as a share of the worker's;
  /// the fullest worker that still fits keeps the others whole.
  double leftover(std::size_t W, const Room &Offered, const Room &Need) const {
    const Room &Whole = In.Workers[W].Capacity;
    const auto Share = [](std::int64_t Left, std::int64_t Of) {
      return Of > 0 ? double(Left) / double(Of) : 0.0;
    };
    return 2 * Share(Offered.Accelerators - Need.Accelerators,
                     Whole.Accelerators) +
           Share(Offered.MemoryMb - Need.MemoryMb, Whole.MemoryMb) +
           Share(Offered.MilliCores - Need.MilliCores, Whole.MilliCores);
  }

  /// Places all tasks of \p Unit on workers for which \p May holds, best fit
  /// first, in the room that \p Offered holds.
  std::optional<Spots> fit(const PlanUnit &Unit, Rooms Offered,
                           const Allowed &May) const {
    const Room Need = roomOf(*Unit.Step);
    const std::uint32_t Limit = Unit.Step->spread_limit();
    std::map<std::size_t, std::size_t> Taken;
    const bool Leaves = Unit.LeavesWhole && takenShare(Offered) >= BusyShare;
    std::size_t Whole = Leaves ? wholeWorkers(Unit, Offered) : 0;
    Spots Where;
    for (std::size_t T = 0; T < Unit.Tasks.size(); ++T) {
      std::size_t Best = In.Workers.size();
      double BestScore = Never;
      for (std::size_t W = 0; W < In.Workers.size(); ++W) {
        if (!May(W) || !Offered[W].holds(Need) || !suits(In.Workers[W], Unit))
          continue;
        if (Limit && countOn(Unit, W) + Taken[W] >= Limit)
          continue;
        if (Leaves && isWhole(W, Offered[W]) && Whole <= Unit.LeavesWhole)
          continue;
        const double Score = leftover(W, Offered[W], Need);
        if (Score < BestScore) {
          Best = W;
          BestScore = Score;
        }
      }
      if (Best == In.Workers.size())
        return std::nullopt;
      Whole -= Whole && isWhole(Best, Offered[Best]) ? 1 : 0;
      Offered[Best] -= Need;
      ++Taken[Best];
      Where.push_back(Best);
    }
    return Where;
  }

  /// Whether all accelerators of a worker are free.
  bool isWhole(std::size_t W, const Room &Offered) const {
    const std::int64_t All = In.Workers[W].Capacity.Accelerators;
    return All > 0 && Offered.Accelerators == All;
  }

  /// The share of all accelerators that is not offered.
  double takenShare(const Rooms &Offered) const {
    std::int64_t All = 0;
    std::int64_t Left = 0;
    for (std::size_t W = 0; W < In.Workers.size(); ++W) {
      All += In.Workers[W].Capacity.Accelerators;
      Left += Offered[W].Accelerators;
    }
    return All > 0 ? 1 - double(Left) / double(All) : 0;
  }

  std::size_t wholeWorkers(const PlanUnit &Unit, const Rooms &Offered) const {
    std::size_t Count = 0;
    for (std::size_t W = 0; W < In.Workers.size(); ++W)
      Count += isWhole(W, Offered[W]) && suits(In.Workers[W], Unit) ? 1 : 0;
    return Count;
  }

  /// The groups of workers within which \p Unit takes no longer than it must.
  std::vector<Allowed> nearGroups(const PlanUnit &Unit) const {
    if (!Unit.Step->data_rack().empty())
      return {inRack(RackName(Unit.Step->data_rack()))};
    if (!Unit.Step->same_rack())
      return {&anywhere};
    std::set<RackName> Racks;
    for (const PlanWorker &Worker : In.Workers)
      if (suits(Worker, Unit))
        Racks.insert(Worker.Rack);
    std::vector<Allowed> Groups;
    Groups.reserve(Racks.size());
    for (const RackName &Rack : Racks)
      Groups.push_back(inRack(Rack));
    return Groups;
  }

  double leftoverOf(const PlanUnit &Unit, const Rooms &Offered,
                    const Spots &Where) const {
    double Sum = 0;
    for (std::size_t W : Where)
      Sum += leftover(W, Offered[W], roomOf(*Unit.Step));
    return Sum;
  }

  /// Where \p Unit goes: near its data and in one rack as it asks, or, with
  /// \p Far, anywhere if there is no better place.
  std::optional<Spots> find(const PlanUnit &Unit, const Rooms &Offered,
                            bool Far) const {
    std::optional<Spots> Best;
    double BestScore = Never;
    for (const Allowed &Group : nearGroups(Unit)) {
      auto Where = fit(Unit, Offered, Group);
      const double Score = Where ? leftoverOf(Unit, Offered, *Where) : Never;
      if (Score < BestScore) {
        Best = std::move(Where);
        BestScore = Score;
      }
    }
    if (!Best && Far)
      return fit(Unit, Offered, &anywhere);
    return Best;
  }

  void take(const PlanUnit &Unit, const Spots &Where) {
    for (std::size_t W : Where) {
      Free[W] -= roomOf(*Unit.Step);
      ++In.OnWorker[{Unit.StepKey, W}];
    }
  }

  void start(const PlanUnit &Unit, const Spots &Where) {
    for (std::size_t T = 0; T < Where.size(); ++T)
      Out.Starts.push_back({Unit.Job, Unit.Tasks[T], Where[T]});
    take(Unit, Where);
  }

  /// The room once all stopping runs are gone.
  Rooms afterStops() const {
    Rooms After = Free;
    for (std::size_t W = 0; W < After.size(); ++W)
      After[W] += Leaving[W];
    return After;
  }

  /// Keeps the room that stopping runs will leave, or stops the runs that
  /// are cheapest to lose. A choice of an earlier round is kept while it
  /// holds, so that no more runs are stopped elsewhere while others fill the
  /// first place again.
  void makeRoom(const PlanUnit &Unit) {
    auto Where = fit(Unit, afterStops(), keptFor(Unit));
    if (!Where)
      Where = find(Unit, afterStops(), Unit.MayRunFar);
    if (!Where && Unit.MayStopOthers)
      Where = stopOthers(Unit);
    if (!Where)
      return;
    take(Unit, *Where);
    std::vector<WorkerLife> &Kept = Out.Kept[{Unit.Job, Unit.Tasks.front()}];
    for (std::size_t W : *Where)
      Kept.push_back(In.Workers[W].Life);
  }

  std::optional<Spots> stopOthers(const PlanUnit &Unit) {
    std::optional<Way> Best;
    for (const Allowed &Group : nearGroups(Unit))
      if (auto Found = wayWithin(Unit, Group);
          Found && (!Best || Found->Loss < Best->Loss))
        Best = std::move(Found);
    if (!Best)
      Best = wayWithin(Unit, &anywhere);
    if (!Best)
      return std::nullopt;
    for (std::size_t Victim : Best->Victims)
      stop(Victim);
    return Best->Where;
  }

  /// The runs that have to be stopped for \p Unit within a group of workers.
  std::optional<Way> wayWithin(const PlanUnit &Unit, const Allowed &May) const {
    Way Found;
    Rooms After = afterStops();
    std::vector<bool> Gone = Stopped;
    for (;;) {
      if (auto Where = fit(Unit, After, May)) {
        Found.Where = std::move(*Where);
        break;
      }
      const auto Victim = cheapest(Unit, After, Gone, May);
      if (!Victim)
        return std::nullopt;
      Found.Victims.push_back(*Victim);
      for (std::size_t R : groupOf(*Victim)) {
        Gone[R] = true;
        After[In.Stoppable[R].Worker] += In.Stoppable[R].Takes;
      }
    }
    prune(Found);
    for (std::size_t Victim : Found.Victims)
      Found.Loss += In.Stoppable[Victim].Loss;
    return Found;
  }

  /// The runs that end with \p Run: the members of its gang.
  std::vector<std::size_t> groupOf(std::size_t Run) const {
    std::vector<std::size_t> Group;
    for (std::size_t R = 0; R < In.Stoppable.size(); ++R)
      if (R == Run || (!In.Stoppable[R].Gang.empty() &&
                       In.Stoppable[R].Gang == In.Stoppable[Run].Gang))
        Group.push_back(R);
    return Group;
  }

  /// Leaves out victims that free nothing where the unit goes.
  void prune(Way &Found) const {
    const auto Frees = [&](std::size_t Victim) {
      for (std::size_t R : groupOf(Victim))
        if (std::find(Found.Where.begin(), Found.Where.end(),
                      In.Stoppable[R].Worker) != Found.Where.end())
          return true;
      return false;
    };
    Found.Victims.erase(
        std::remove_if(Found.Victims.begin(), Found.Victims.end(),
                       [&](std::size_t Victim) { return !Frees(Victim); }),
        Found.Victims.end());
  }

  /// The first run to stop on the worker that needs the least loss to hold
  /// one more task of \p Unit.
  std::optional<std::size_t> cheapest(const PlanUnit &Unit, const Rooms &After,
                                      const std::vector<bool> &Gone,
                                      const Allowed &May) const {
    const Room Need = roomOf(*Unit.Step);
    double BestLoss = Never;
    std::optional<std::size_t> Best;
    for (std::size_t W = 0; W < In.Workers.size(); ++W) {
      if (!May(W) || !suits(In.Workers[W], Unit) || After[W].holds(Need))
        continue;
      const auto [Loss, First] = lossToHold(W, After[W], Need, Gone);
      if (First && Loss < BestLoss) {
        BestLoss = Loss;
        Best = First;
      }
    }
    return Best;
  }

  /// What it costs to stop runs on worker \p W until \p Need fits, and the
  /// first of them.
  std::pair<double, std::optional<std::size_t>>
  lossToHold(std::size_t W, Room Offered, const Room &Need,
             const std::vector<bool> &Gone) const {
    std::vector<std::size_t> Runs;
    for (std::size_t R = 0; R < In.Stoppable.size(); ++R)
      if (In.Stoppable[R].Worker == W && !Gone[R])
        Runs.push_back(R);
    std::sort(Runs.begin(), Runs.end(), [&](std::size_t L, std::size_t R) {
      return In.Stoppable[L].Loss < In.Stoppable[R].Loss;
    });
    double Loss = 0;
    std::optional<std::size_t> First;
    for (std::size_t R : Runs) {
      if (Offered.holds(Need))
        break;
      if (!First)
        First = R;
      Loss += In.Stoppable[R].Loss;
      Offered += In.Stoppable[R].Takes;
    }
    return Offered.holds(Need) ? std::make_pair(Loss, First)
                               : std::make_pair(Never, std::nullopt);
  }

  void stop(std::size_t Victim) {
    for (std::size_t R : groupOf(Victim)) {
      if (Stopped[R])
        continue;
      Stopped[R] = true;
      Leaving[In.Stoppable[R].Worker] += In.Stoppable[R].Takes;
    }
    Out.Stops.push_back({In.Stoppable[Victim].Job, In.Stoppable[Victim].Task});
  }

  PlanInput In;
  /// Room by worker, as it is while the plan is made.
  Rooms Free;
  Rooms Leaving;
  TaskPlan Out;
  std::vector<bool> Stopped;
};

} // namespace

Room &Room::operator+=(const Room &Other) {
  MilliCores += Other.MilliCores;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
  return *this;
}

Room &Room::operator-=(const Room &Other) {
  MilliCores -= Other.MilliCores;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return *this;
}

bool Room::holds(const Room &Need) const {
  const auto Holds = [](std::int64_t Free, std::int64_t Wanted) {
    return Wanted <= 0 || Free >= Wanted;
  };
  return Holds(MilliCores, Need.MilliCores) && Holds(MemoryMb, Need.MemoryMb) &&
         Holds(Accelerators, Need.Accelerators);
}

Room roomOf(const wire::StepSpec &Step) {
  return {Step.fills() ? 0 : Step.milli_cores(), Step.memory_mb(),
          Step.accelerators()};
}

TaskPlan planTasks(PlanInput Input) { return Planner(std::move(Input)).run(); }

} // namespace baobabcove
