#include "entry/MinionPool.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Longest wait for a slot; a caller hears of overload early.
constexpr Milliseconds LongestWait{1000};
/// Waiting requests for each slot of the service.
constexpr std::size_t WaitersPerSlot = 1;
/// Requests that may wait before the slots of a service are known.
constexpr std::size_t WaitersInWarmUp = 64;
constexpr double LatencyShare = 0.2;
/// A minion this many times slower than the median is held for one step
/// farther away.
constexpr double SlowFactor = 3;
constexpr double SlowFloorMs = 20;
constexpr std::uint32_t FailuresToEject = 3;
constexpr Milliseconds FirstEjection{2000};
constexpr Milliseconds LongestEjection{30000};
constexpr double FartherStep = 10;
constexpr double JitterShare = 0.01;
/// An entry that has just begun may not have heard of every agent. An agent
/// that must ask the store for the new entry's address takes this long.
constexpr Milliseconds WarmUp{4000};

tl::unexpected<Error> noMinion() {
  return failure(ResultCode::NoMinion, "No live minion answers the service.");
}

} // namespace

MinionPool::MinionPool(const Settings &Of, const Members &Known)
    : Of(Of), Known(Known), WarmUntil(monotonicNow() + WarmUp),
      Dice(std::random_device{}()) {}

int MinionPool::distance(const MemberRecord &Candidate) const {
  const wire::Location &There = Candidate.Beat.location();
  if (There.place() != Of.Place)
    return 2;
  return There.data_centre() == Of.DataCentre ? 0 : 1;
}

bool MinionPool::ejected(const std::string &Node, Instant Now) const {
  const auto Found = Minions.find(Node);
  return Found != Minions.end() && Found->second.EjectedUntil > Now;
}

std::uint32_t MinionPool::busy(const std::string &Node) const {
  const auto Found = Minions.find(Node);
  return Found == Minions.end() ? 0 : Found->second.Own + Found->second.Foreign;
}

double MinionPool::score(const MemberRecord &Candidate,
                         double MedianLatency) const {
  double Result = FartherStep * distance(Candidate);
  const std::string &Node = Candidate.Beat.node();
  Result += static_cast<double>(busy(Node)) /
            std::max(1U, Candidate.Beat.minion().slots());
  const auto Found = Minions.find(Node);
  if (Found == Minions.end())
    return Result;
  const double Latency = Found->second.LatencyMs;
  if (Latency > SlowFloorMs && Latency > SlowFactor * MedianLatency)
    Result += FartherStep * 1.5;
  return Result;
}

MinionPool::Pick MinionPool::pick(const SlotRequest &Wanted,
                                  MemberRecord &Chosen) {
  const Instant Now = monotonicNow();
  std::vector<MemberRecord> Candidates;
  std::vector<double> Latencies;
  std::size_t Ejected = 0;
  for (auto &Each :
       Known.alive(wire::MINION, Milliseconds(Of.MinionSilenceMs), Now)) {
    if (Each.Beat.minion().service() != Wanted.Service || Each.Beat.draining())
      continue;
    if (Wanted.Excluded.count(Each.Beat.node()) != 0)
      continue;
    Ejected += ejected(Each.Beat.node(), Now) ? 1 : 0;
    const auto Found = Minions.find(Each.Beat.node());
    if (Found != Minions.end() && Found->second.LatencyMs > 0)
      Latencies.push_back(Found->second.LatencyMs);
    Candidates.push_back(std::move(Each));
  }
  if (Candidates.empty())
    return Pick::None;
  double Median = 0;
  if (!Latencies.empty()) {
    std::sort(Latencies.begin(), Latencies.end());
    Median = Latencies[(Latencies.size() - 1) / 2];
  }
  // When more than half would be left out, the fault is not in the minions.
  const bool UseEjected = 2 * Ejected > Candidates.size();
  const MemberRecord *Best = nullptr;
  double BestScore = 0;
  std::uniform_real_distribution<double> Jitter(0, JitterShare);
  for (const MemberRecord &Each : Candidates) {
    if (busy(Each.Beat.node()) >= Each.Beat.minion().slots())
      continue;
    if (!UseEjected && ejected(Each.Beat.node(), Now))
      continue;
    const double Score = score(Each, Median) + Jitter(Dice);
    if (Best && Score >= BestScore)
      continue;
    Best = &Each;
    BestScore = Score;
  }
  if (!Best)
    return Pick::AllBusy;
  Chosen = *Best;
  return Pick::Found;
}

void MinionPool::take(const std::string &Node, const std::string &Workspace) {
  ++Minions[Node].Own;
  ++ByWorkspace[Workspace];
}

/// Requests that may wait for a slot of a service.
std::size_t MinionPool::roomFor(const std::string &Service, Instant Now) const {
  const std::size_t Room = slotsOf(Service) * WaitersPerSlot;
  return Now < WarmUntil ? std::max(Room, WaitersInWarmUp) : Room;
}

std::size_t MinionPool::slotsOf(const std::string &Service) const {
  std::size_t Slots = 0;
  for (const auto &Each : Known.alive(
           wire::MINION, Milliseconds(Of.MinionSilenceMs), monotonicNow()))
    if (Each.Beat.minion().service() == Service)
      Slots += Each.Beat.minion().slots();
  return Slots;
}

/// Requests of a workspace that are under way or wait.
std::size_t MinionPool::load(const std::string &Workspace) const {
  const auto Found = ByWorkspace.find(Workspace);
  std::size_t Count = Found == ByWorkspace.end() ? 0 : Found->second;
  for (const Waiter *Each : Waiters)
    Count += Each->Wanted->Workspace == Workspace ? 1 : 0;
  return Count;
}

/// Refuses the newest waiter of the workspace with the most requests, unless
/// that is the one that asks.
bool MinionPool::makeRoomFor(const std::string &Workspace) {
  Waiter *Heaviest = nullptr;
  std::size_t Most = load(Workspace) + 1;
  for (Waiter *Each : Waiters) {
    const std::size_t Load = load(Each->Wanted->Workspace);
    if (Load < Most || (Heaviest && Load == Most &&
                        Each->Wanted->Workspace != Heaviest->Wanted->Workspace))
      continue;
    Most = Load;
    Heaviest = Each;
  }
  if (!Heaviest || Heaviest->Wanted->Workspace == Workspace)
    return false;
  Heaviest->Refused = true;
  Waiters.remove(Heaviest);
  Heaviest->Ready.notify_one();
  return true;
}

Expected<MemberRecord> MinionPool::acquire(const SlotRequest &Wanted) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Waiter Mine;
  const Instant Now = monotonicNow();
  if (Waiters.empty()) {
    const Pick Result = pick(Wanted, Mine.Member);
    if (Result == Pick::Found) {
      take(Mine.Member.Beat.node(), Wanted.Workspace);
      return Mine.Member;
    }
    if (Result == Pick::None && Now >= WarmUntil)
      return noMinion();
  }
  const bool Full = Waiters.size() >= roomFor(Wanted.Service, Now);
  if (Full && !makeRoomFor(Wanted.Workspace))
    return failure(ResultCode::Overloaded,
                   "Every slot is in use and the queue is full.");
  Mine.Wanted = &Wanted;
  Mine.Number = NextNumber++;
  const auto Place = Waiters.insert(Waiters.end(), &Mine);
  serveWaiters();
  const Instant GiveUp =
      std::min(Wanted.Deadline, std::max(Now + LongestWait, WarmUntil));
  Mine.Ready.wait_until(Lock, GiveUp,
                        [&] { return Mine.Granted || Mine.Refused; });
  if (Mine.Granted)
    return Mine.Member;
  if (Mine.Refused)
    return failure(ResultCode::Overloaded,
                   "The queue is full and other workspaces wait.");
  Waiters.erase(Place);
  if (monotonicNow() >= Wanted.Deadline)
    return failure(ResultCode::DeadlineBeforeStart,
                   "The deadline passed while it waited for a slot.");
  if (slotsOf(Wanted.Service) == 0)
    return noMinion();
  return failure(ResultCode::Overloaded, "Every slot is in use.");
}

void MinionPool::occupy(const std::string &Node, const std::string &Workspace) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  take(Node, Workspace);
}

void MinionPool::noteFailure(Minion &Failed, Instant Now) {
  if (++Failed.FailuresInRow < FailuresToEject)
    return;
  Failed.EjectedFor = Failed.EjectedFor.count() == 0
                          ? FirstEjection
                          : std::min(2 * Failed.EjectedFor, LongestEjection);
  Failed.EjectedUntil = Now + Failed.EjectedFor;
  Failed.FailuresInRow = 0;
}

void MinionPool::release(const std::string &Node, const std::string &Workspace,
                         DeliveryMark Mark, Milliseconds Took,
                         int ReportedInFlight) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Minion &Released = Minions[Node];
  --Released.Own;
  const auto Count = ByWorkspace.find(Workspace);
  if (--Count->second == 0)
    ByWorkspace.erase(Count);
  if (ReportedInFlight >= 0) {
    const auto Reported = static_cast<std::uint32_t>(ReportedInFlight);
    Released.Foreign = Reported > Released.Own ? Reported - Released.Own : 0;
  }
  if (Mark == DeliveryMark::Good) {
    const double Sample = static_cast<double>(Took.count());
    Released.LatencyMs =
        Released.LatencyMs == 0
            ? Sample
            : (1 - LatencyShare) * Released.LatencyMs + LatencyShare * Sample;
    Released.FailuresInRow = 0;
    Released.EjectedFor = Milliseconds(0);
  } else if (Mark == DeliveryMark::Failed) {
    noteFailure(Released, monotonicNow());
  }
  serveWaiters();
}

void MinionPool::membersChanged() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Alive = Known.alive(wire::MINION, Milliseconds(Of.MinionSilenceMs),
                                 monotonicNow());
  std::map<std::string, Minion> Kept;
  for (const auto &Each : Alive) {
    const std::string &Node = Each.Beat.node();
    Minion &State = Minions[Node];
    const std::uint32_t Reported = Each.Beat.minion().in_flight();
    State.Foreign = Reported > State.Own ? Reported - State.Own : 0;
    Kept[Node] = State;
  }
  for (const auto &[Node, State] : Minions)
    if (State.Own > 0)
      Kept[Node] = State;
  Minions = std::move(Kept);
  serveWaiters();
}

void MinionPool::serveWaiters() {
  std::vector<Waiter *> Order(Waiters.begin(), Waiters.end());
  std::sort(Order.begin(), Order.end(), [&](Waiter *L, Waiter *R) {
    const auto Under = [&](Waiter *W) {
      const auto Found = ByWorkspace.find(W->Wanted->Workspace);
      return Found == ByWorkspace.end() ? 0U : Found->second;
    };
    const std::uint32_t Left = Under(L);
    const std::uint32_t Right = Under(R);
    return Left != Right ? Left < Right : L->Number < R->Number;
  });
  for (Waiter *Each : Order) {
    if (pick(*Each->Wanted, Each->Member) != Pick::Found)
      continue;
    take(Each->Member.Beat.node(), Each->Wanted->Workspace);
    Each->Granted = true;
    Waiters.remove(Each);
    Each->Ready.notify_one();
  }
}

std::size_t MinionPool::waiting() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Waiters.size();
}

std::uint32_t MinionPool::inFlight(const std::string &Workspace) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = ByWorkspace.find(Workspace);
  return Found == ByWorkspace.end() ? 0 : Found->second;
}

} // namespace baobabcove
