#include "tasks/planning/CapacityReservation.h"

#include <algorithm>
#include <map>

namespace baobabcove {

namespace {

/// Returns how many tasks that need \p Need fit into \p Free, up to \p Limit.
std::size_t tasksThatFit(Resources Free, const Resources &Need,
                         std::size_t Limit) {
  std::size_t Count = 0;
  for (; Count < Limit && Free.covers(Need); ++Count)
    Free -= Need;
  return Count;
}

/// The candidates and what they are expected to release, ordered by time.
class Timeline {
public:
  Timeline(std::size_t Tasks, const Resources &Need,
           const std::vector<ReservableWorker> &Candidates,
           std::vector<ExpectedRelease> Releases)
      : Tasks(Tasks), Need(Need), Candidates(Candidates),
        Releases(std::move(Releases)) {
    std::stable_sort(this->Releases.begin(), this->Releases.end(),
                     [](const ExpectedRelease &L, const ExpectedRelease &R) {
                       return L.In < R.In;
                     });
  }

  std::size_t releases() const { return Releases.size(); }
  Milliseconds timeOf(std::size_t Released) const {
    return Released == 0 ? Milliseconds(0) : Releases[Released - 1].In;
  }

  /// Returns the workers that hold all tasks once the first \p Released runs
  /// have ended, those with the most tasks first; empty if they do not fit.
  std::vector<std::size_t> workersAfter(std::size_t Released) const {
    std::map<std::size_t, Resources> Freed;
    for (std::size_t R = 0; R < Released; ++R)
      Freed[Releases[R].Worker] += Releases[R].Usage;
    struct Slots {
      std::size_t Worker;
      std::size_t Tasks;
    };
    std::vector<Slots> Available;
    for (const ReservableWorker &Candidate : Candidates) {
      Resources Free = Candidate.Free;
      if (const auto Found = Freed.find(Candidate.Worker); Found != Freed.end())
        Free += Found->second;
      if (const std::size_t Fitting =
              tasksThatFit(Free, Need, std::min(Candidate.MaxTasks, Tasks)))
        Available.push_back({Candidate.Worker, Fitting});
    }
    std::stable_sort(
        Available.begin(), Available.end(),
        [](const Slots &L, const Slots &R) { return L.Tasks > R.Tasks; });
    std::vector<std::size_t> Workers;
    std::size_t Placed = 0;
    for (const Slots &Each : Available) {
      if (Placed >= Tasks)
        break;
      Placed += Each.Tasks;
      Workers.push_back(Each.Worker);
    }
    return Placed >= Tasks ? Workers : std::vector<std::size_t>();
  }

private:
  const std::size_t Tasks;
  const Resources Need;
  const std::vector<ReservableWorker> &Candidates;
  std::vector<ExpectedRelease> Releases;
};

} // namespace

std::optional<CapacityReservation>
reserveCapacity(std::size_t Tasks, const Resources &Need,
                const std::vector<ReservableWorker> &Candidates,
                const std::vector<ExpectedRelease> &Releases) {
  const Timeline Line(Tasks, Need, Candidates, Releases);
  if (Tasks == 0 || Line.workersAfter(Line.releases()).empty())
    return std::nullopt;
  // The more runs have ended, the more tasks fit.
  std::size_t TooFew = 0;
  std::size_t Enough = Line.releases();
  if (!Line.workersAfter(0).empty())
    Enough = 0;
  while (Enough > TooFew + 1) {
    const std::size_t Middle = (TooFew + Enough) / 2;
    (Line.workersAfter(Middle).empty() ? TooFew : Enough) = Middle;
  }
  return CapacityReservation{Line.workersAfter(Enough), Line.timeOf(Enough)};
}

} // namespace baobabcove
