#include "tasks/TaskPlanner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>

namespace baobabcove {

namespace {

constexpr double Never = std::numeric_limits<double>::infinity();

/// Where the tasks of one unit go, in the order of its tasks.
using Spots = std::vector<std::size_t>;

class Planner {
public:
  explicit Planner(PlanInput Given) : In(std::move(Given)) {
    std::stable_sort(In.Units.begin(), In.Units.end(),
                     [](const PlanUnit &L, const PlanUnit &R) {
                       return L.Rank < R.Rank;
                     });
    Stopped.resize(In.Stoppable.size());
  }

  TaskPlan run() {
    for (const PlanUnit &Unit : In.Units) {
      if (auto Where = find(Unit, &PlanWorker::Free, Unit.MayRunFar))
        start(Unit, *Where);
      else if (Unit.Guaranteed)
        makeRoom(Unit);
      else if (Unit.Reserves)
        reserve(Unit);
    }
    return std::move(Out);
  }

private:
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
  static double leftover(const PlanWorker &Worker, const Room &Free,
                         const Room &Need) {
    const auto Share = [](std::int64_t Left, std::int64_t Whole) {
      return Whole > 0 ? double(Left) / double(Whole) : 0.0;
    };
    return 2 * Share(Free.Accelerators - Need.Accelerators,
                     Worker.Capacity.Accelerators) +
           Share(Free.MemoryMb - Need.MemoryMb, Worker.Capacity.MemoryMb) +
           Share(Free.MilliCores - Need.MilliCores,
                 Worker.Capacity.MilliCores);
  }

  /// Places all tasks of \p Unit on workers for which \p Allowed holds, best
  /// fit first, by the room that \p Offered names.
  template <class Allow>
  std::optional<Spots> fit(const PlanUnit &Unit, Room PlanWorker::*Offered,
                           Allow Allowed) const {
    const Room Need = roomOf(*Unit.Step);
    std::map<std::size_t, std::size_t> Taken;
    std::vector<Room> Free;
    for (const PlanWorker &Worker : In.Workers)
      Free.push_back(Worker.*Offered);
    Spots Where;
    for (std::size_t T = 0; T < Unit.Tasks.size(); ++T) {
      std::size_t Best = In.Workers.size();
      double BestScore = Never;
      for (std::size_t W = 0; W < In.Workers.size(); ++W) {
        const std::uint32_t Limit = Unit.Step->spread_limit();
        if (!Allowed(W) || !suits(In.Workers[W], Unit) || !Free[W].holds(Need))
          continue;
        if (Limit && countOn(Unit, W) + Taken[W] >= Limit)
          continue;
        const double Score = leftover(In.Workers[W], Free[W], Need);
        if (Score < BestScore) {
          Best = W;
          BestScore = Score;
        }
      }
      if (Best == In.Workers.size())
        return std::nullopt;
      Free[Best] -= Need;
      ++Taken[Best];
      Where.push_back(Best);
    }
    return Where;
  }

  std::set<RackName> racksFor(const PlanUnit &Unit) const {
    std::set<RackName> Racks;
    for (const PlanWorker &Worker : In.Workers)
      if (suits(Worker, Unit))
        Racks.insert(Worker.Rack);
    return Racks;
  }

  double leftoverOf(const PlanUnit &Unit, Room PlanWorker::*Offered,
                    const Spots &Where) const {
    double Sum = 0;
    for (std::size_t W : Where)
      Sum += leftover(In.Workers[W], In.Workers[W].*Offered,
                      roomOf(*Unit.Step));
    return Sum;
  }

  /// Where \p Unit goes: near its data and in one rack as it asks, or, with
  /// \p Far, anywhere if there is no better place.
  std::optional<Spots> find(const PlanUnit &Unit, Room PlanWorker::*Offered,
                            bool Far) const {
    const wire::StepSpec &Step = *Unit.Step;
    const auto InRack = [&](const RackName &Rack) {
      return [&, Rack](std::size_t W) { return In.Workers[W].Rack == Rack; };
    };
    if (!Step.data_rack().empty()) {
      if (auto Near = fit(Unit, Offered, InRack(RackName(Step.data_rack()))))
        return Near;
    } else if (Step.same_rack()) {
      std::optional<Spots> Best;
      double BestScore = Never;
      for (const RackName &Rack : racksFor(Unit)) {
        auto Where = fit(Unit, Offered, InRack(Rack));
        const double Score =
            Where ? leftoverOf(Unit, Offered, *Where) : Never;
        if (Score < BestScore) {
          Best = std::move(Where);
          BestScore = Score;
        }
      }
      if (Best)
        return Best;
    } else {
      Far = true;
    }
    if (!Far)
      return std::nullopt;
    return fit(Unit, Offered, [](std::size_t) { return true; });
  }

  void take(const PlanUnit &Unit, const Spots &Where) {
    for (std::size_t W : Where) {
      In.Workers[W].Free -= roomOf(*Unit.Step);
      ++In.OnWorker[{Unit.StepKey, W}];
    }
  }

  void start(const PlanUnit &Unit, const Spots &Where) {
    for (std::size_t T = 0; T < Where.size(); ++T)
      Out.Starts.push_back({Unit.Job, Unit.Tasks[T], Where[T]});
    take(Unit, Where);
  }

  /// Keeps the room that stopping runs will leave, or stops the runs that
  /// are cheapest to lose.
  void makeRoom(const PlanUnit &Unit) {
    auto Where = findAfterStops(Unit);
    if (!Where && !Unit.MayStopOthers)
      return;
    while (!Where) {
      const auto Victim = cheapest(Unit);
      if (!Victim)
        return;
      stop(*Victim);
      Where = findAfterStops(Unit);
    }
    keepOnly(*Where);
    take(Unit, *Where);
    std::vector<WorkerLife> &Kept = Out.Kept[{Unit.Job, Unit.Tasks.front()}];
    for (std::size_t W : *Where)
      Kept.push_back(In.Workers[W].Life);
  }

  /// Where \p Unit will fit once stopping runs are gone. A choice of an
  /// earlier round is kept while it holds, so that no more runs are stopped
  /// elsewhere while others fill the first place again.
  std::optional<Spots> findAfterStops(const PlanUnit &Unit) {
    for (PlanWorker &Worker : In.Workers)
      Worker.Free += Worker.Leaving;
    auto Where = findKept(Unit);
    if (!Where)
      Where = find(Unit, &PlanWorker::Free, true);
    for (PlanWorker &Worker : In.Workers)
      Worker.Free -= Worker.Leaving;
    return Where;
  }

  std::optional<Spots> findKept(const PlanUnit &Unit) const {
    const auto Kept = In.Kept.find({Unit.Job, Unit.Tasks.front()});
    if (Kept == In.Kept.end())
      return std::nullopt;
    const auto IsKept = [&](std::size_t W) {
      return std::find(Kept->second.begin(), Kept->second.end(),
                       In.Workers[W].Life) != Kept->second.end();
    };
    return fit(Unit, &PlanWorker::Free, IsKept);
  }

  /// The run whose stop brings \p Unit nearest to a place at the least loss:
  /// runs on the worker that needs the least loss to hold one more task.
  std::optional<std::size_t> cheapest(const PlanUnit &Unit) const {
    const Room Need = roomOf(*Unit.Step);
    double BestLoss = Never;
    std::optional<std::size_t> Best;
    for (std::size_t W = 0; W < In.Workers.size(); ++W) {
      const PlanWorker &Worker = In.Workers[W];
      if (!suits(Worker, Unit) || !Worker.Capacity.holds(Need))
        continue;
      Room Free = Worker.Free;
      Free += Worker.Leaving;
      if (Free.holds(Need))
        continue;
      const auto [Loss, First] = lossToHold(W, Free, Need);
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
  lossToHold(std::size_t W, Room Free, const Room &Need) const {
    std::vector<std::size_t> Runs;
    for (std::size_t R = 0; R < In.Stoppable.size(); ++R)
      if (In.Stoppable[R].Worker == W && !Stopped[R])
        Runs.push_back(R);
    std::sort(Runs.begin(), Runs.end(), [&](std::size_t L, std::size_t R) {
      return In.Stoppable[L].Loss < In.Stoppable[R].Loss;
    });
    double Loss = 0;
    std::optional<std::size_t> First;
    for (std::size_t R : Runs) {
      if (Free.holds(Need))
        break;
      if (!First)
        First = R;
      Loss += In.Stoppable[R].Loss;
      Free += In.Stoppable[R].Takes;
    }
    return Free.holds(Need) ? std::make_pair(Loss, First)
                            : std::make_pair(Never, std::nullopt);
  }

  /// Stops a run and, with it, the other members of its gang.
  void stop(std::size_t Victim) {
    Stopped[Victim] = true;
    const PlanRun &Run = In.Stoppable[Victim];
    In.Workers[Run.Worker].Leaving += Run.Takes;
    NewStops.push_back(Victim);
    Out.Stops.push_back({Run.Job, Run.Task});
  }

  /// Takes back stops on workers that the unit does not use after all.
  void keepOnly(const Spots &Where) {
    for (std::size_t Victim : NewStops) {
      const PlanRun &Run = In.Stoppable[Victim];
      if (std::find(Where.begin(), Where.end(), Run.Worker) != Where.end())
        continue;
      Stopped[Victim] = false;
      In.Workers[Run.Worker].Leaving -= Run.Takes;
      Out.Stops.erase(
          std::remove_if(Out.Stops.begin(), Out.Stops.end(),
                         [&](const PlannedStop &Stop) {
                           return Stop.Job == Run.Job && Stop.Task == Run.Task;
                         }),
          Out.Stops.end());
    }
    NewStops.clear();
  }

  /// Closes the workers on which \p Unit would fit if they were empty and
  /// that have the most room, so that units behind it do not fill them again.
  void reserve(const PlanUnit &Unit) {
    const Room Need = roomOf(*Unit.Step);
    std::vector<std::size_t> Fitting;
    for (std::size_t W = 0; W < In.Workers.size(); ++W)
      if (suits(In.Workers[W], Unit) && In.Workers[W].Capacity.holds(Need))
        Fitting.push_back(W);
    std::sort(Fitting.begin(), Fitting.end(), [&](std::size_t L, std::size_t R) {
      return leftover(In.Workers[L], In.Workers[L].Free, Need) >
             leftover(In.Workers[R], In.Workers[R].Free, Need);
    });
    const std::size_t Count = std::min(Fitting.size(), Unit.Tasks.size());
    for (std::size_t I = 0; I < Count; ++I)
      In.Workers[Fitting[I]].Free -= Need;
  }

  PlanInput In;
  TaskPlan Out;
  std::vector<bool> Stopped;
  std::vector<std::size_t> NewStops;
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
