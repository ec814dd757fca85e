#include "entry/MinionPool.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Maximum wait for a slot, short so that callers learn of overload early.
constexpr Milliseconds MaxSlotWait{1000};
/// Queue limit of a service: waiting requests per slot.
constexpr std::size_t WaitersPerSlot = 1;
/// Minimum queue limit during warm-up, when not all slots are known yet.
constexpr std::size_t MinWaitersInWarmUp = 64;
constexpr double LatencyEwmaWeight = 0.2;
/// A minion this many times slower than the median is scored as if it were
/// farther away.
constexpr double SlowFactor = 3;
constexpr double MinSlowLatencyMs = 20;
constexpr std::uint32_t FailuresToEject = 3;
constexpr Milliseconds InitialEjection{2000};
constexpr Milliseconds MaxEjection{30000};
constexpr double DistanceWeight = 10;
constexpr double MaxJitter = 0.01;
/// Time after the start in which heartbeats of some agents may be missing: an
/// agent that must look up the new entry's address in the store takes this
/// long.
constexpr Milliseconds WarmUpTime{4000};

tl::unexpected<Error> noMinion() {
  return failure(ResultCode::NoMinion, "No live minion provides the service.");
}

} // namespace

MinionPool::MinionPool(const Settings &Options, const MemberTable &Membership)
    : Options(Options), Membership(Membership),
      WarmUpEnd(monotonicNow() + WarmUpTime), Rng(std::random_device{}()) {}

int MinionPool::distance(const MemberRecord &Candidate) const {
  const wire::Location &There = Candidate.LastHeartbeat.location();
  if (There.place() != Options.Place)
    return 2;
  return There.data_centre() == Options.DataCentre ? 0 : 1;
}

bool MinionPool::ejected(const std::string &Node, Instant Now) const {
  const auto Found = Minions.find(Node);
  return Found != Minions.end() && Found->second.EjectedUntil > Now;
}

std::uint32_t MinionPool::slotsInUse(const std::string &Node) const {
  const auto Found = Minions.find(Node);
  return Found == Minions.end()
             ? 0
             : Found->second.InFlightHere + Found->second.InFlightElsewhere;
}

double MinionPool::score(const MemberRecord &Candidate,
                         double MedianLatency) const {
  double Result = DistanceWeight * distance(Candidate);
  const std::string &Node = Candidate.LastHeartbeat.node();
  Result += static_cast<double>(slotsInUse(Node)) /
            std::max(1U, Candidate.LastHeartbeat.minion().slots());
  const auto Found = Minions.find(Node);
  if (Found == Minions.end())
    return Result;
  const double Latency = Found->second.LatencyMs;
  if (Latency > MinSlowLatencyMs && Latency > SlowFactor * MedianLatency)
    Result += DistanceWeight * 1.5;
  return Result;
}

MinionPool::Pick MinionPool::pick(const SlotRequest &Request,
                                  MemberRecord &Chosen) {
  const Instant Now = monotonicNow();
  std::vector<MemberRecord> Candidates;
  std::vector<double> Latencies;
  std::size_t Ejected = 0;
  for (auto &Each : Membership.alive(
           wire::MINION, Milliseconds(Options.MinionSilenceMs), Now)) {
    if (Each.LastHeartbeat.minion().service() != Request.Service ||
        Each.LastHeartbeat.draining())
      continue;
    if (Request.Excluded.count(Each.LastHeartbeat.node()) != 0)
      continue;
    Ejected += ejected(Each.LastHeartbeat.node(), Now) ? 1 : 0;
    const auto Found = Minions.find(Each.LastHeartbeat.node());
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
  // If more than half of the minions are ejected, the cause is probably not in
  // the minions, so ejected ones are used too.
  const bool UseEjected = 2 * Ejected > Candidates.size();
  const MemberRecord *Best = nullptr;
  double BestScore = 0;
  std::uniform_real_distribution<double> Jitter(0, MaxJitter);
  for (const MemberRecord &Each : Candidates) {
    if (slotsInUse(Each.LastHeartbeat.node()) >=
        Each.LastHeartbeat.minion().slots())
      continue;
    if (!UseEjected && ejected(Each.LastHeartbeat.node(), Now))
      continue;
    const double Score = score(Each, Median) + Jitter(Rng);
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

void MinionPool::reserveSlot(const std::string &Node,
                             const std::string &Workspace) {
  ++Minions[Node].InFlightHere;
  ++ByWorkspace[Workspace];
}

/// Returns how many requests may wait for a slot of a service.
std::size_t MinionPool::queueLimit(const std::string &Service,
                                   Instant Now) const {
  const std::size_t Room = slotsOf(Service) * WaitersPerSlot;
  return Now < WarmUpEnd ? std::max(Room, MinWaitersInWarmUp) : Room;
}

std::size_t MinionPool::slotsOf(const std::string &Service) const {
  std::size_t Slots = 0;
  for (const auto &Each : Membership.alive(
           wire::MINION, Milliseconds(Options.MinionSilenceMs), monotonicNow()))
    if (Each.LastHeartbeat.minion().service() == Service)
      Slots += Each.LastHeartbeat.minion().slots();
  return Slots;
}

/// Returns the number of a workspace's requests that are in flight or waiting.
std::size_t MinionPool::requestCount(const std::string &Workspace) const {
  const auto Found = ByWorkspace.find(Workspace);
  std::size_t Count = Found == ByWorkspace.end() ? 0 : Found->second;
  for (const Waiter *Each : Waiters)
    Count += Each->Request->Workspace == Workspace ? 1 : 0;
  return Count;
}

/// Refuses the newest waiting request of the workspace with the most requests
/// to make room in the queue. Returns false when that is \p Workspace itself.
bool MinionPool::evictWaiterFor(const std::string &Workspace) {
  Waiter *Victim = nullptr;
  std::size_t Most = requestCount(Workspace) + 1;
  for (Waiter *Each : Waiters) {
    const std::size_t Load = requestCount(Each->Request->Workspace);
    if (Load < Most || (Victim && Load == Most &&
                        Each->Request->Workspace != Victim->Request->Workspace))
      continue;
    Most = Load;
    Victim = Each;
  }
  if (!Victim || Victim->Request->Workspace == Workspace)
    return false;
  Victim->Refused = true;
  Waiters.remove(Victim);
  Victim->Ready.notify_one();
  return true;
}

Expected<MemberRecord> MinionPool::acquire(const SlotRequest &Request) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Waiter Mine;
  const Instant Now = monotonicNow();
  if (Waiters.empty()) {
    const Pick Result = pick(Request, Mine.Member);
    if (Result == Pick::Found) {
      reserveSlot(Mine.Member.LastHeartbeat.node(), Request.Workspace);
      return Mine.Member;
    }
    if (Result == Pick::None && Now >= WarmUpEnd)
      return noMinion();
  }
  const bool Full = Waiters.size() >= queueLimit(Request.Service, Now);
  if (Full && !evictWaiterFor(Request.Workspace))
    return failure(ResultCode::Overloaded,
                   "Every slot is in use and the queue is full.");
  Mine.Request = &Request;
  Mine.Number = NextNumber++;
  const auto Position = Waiters.insert(Waiters.end(), &Mine);
  grantWaiters();
  const Instant WaitDeadline =
      std::min(Request.Deadline, std::max(Now + MaxSlotWait, WarmUpEnd));
  Mine.Ready.wait_until(Lock, WaitDeadline,
                        [&] { return Mine.Granted || Mine.Refused; });
  if (Mine.Granted)
    return Mine.Member;
  if (Mine.Refused)
    return failure(ResultCode::Overloaded,
                   "The queue is full and other workspaces are waiting.");
  Waiters.erase(Position);
  if (monotonicNow() >= Request.Deadline)
    return failure(ResultCode::DeadlineBeforeStart,
                   "The deadline passed while the request waited for a slot.");
  if (slotsOf(Request.Service) == 0)
    return noMinion();
  return failure(ResultCode::Overloaded, "Every slot is in use.");
}

void MinionPool::occupySlot(const std::string &Node,
                            const std::string &Workspace) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  reserveSlot(Node, Workspace);
}

void MinionPool::noteFailure(Minion &Failed, Instant Now) {
  if (++Failed.FailuresInRow < FailuresToEject)
    return;
  Failed.EjectedFor = Failed.EjectedFor.count() == 0
                          ? InitialEjection
                          : std::min(2 * Failed.EjectedFor, MaxEjection);
  Failed.EjectedUntil = Now + Failed.EjectedFor;
  Failed.FailuresInRow = 0;
}

void MinionPool::release(const std::string &Node, const std::string &Workspace,
                         DeliveryResult Result, Milliseconds Latency,
                         int ReportedInFlight) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Minion &Released = Minions[Node];
  --Released.InFlightHere;
  const auto Count = ByWorkspace.find(Workspace);
  if (--Count->second == 0)
    ByWorkspace.erase(Count);
  if (ReportedInFlight >= 0) {
    const auto Reported = static_cast<std::uint32_t>(ReportedInFlight);
    Released.InFlightElsewhere =
        Reported > Released.InFlightHere ? Reported - Released.InFlightHere : 0;
  }
  if (Result == DeliveryResult::Succeeded) {
    const double Sample = static_cast<double>(Latency.count());
    Released.LatencyMs = Released.LatencyMs == 0
                             ? Sample
                             : (1 - LatencyEwmaWeight) * Released.LatencyMs +
                                   LatencyEwmaWeight * Sample;
    Released.FailuresInRow = 0;
    Released.EjectedFor = Milliseconds(0);
  } else if (Result == DeliveryResult::Failed) {
    noteFailure(Released, monotonicNow());
  }
  grantWaiters();
}

void MinionPool::membersChanged() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Alive = Membership.alive(
      wire::MINION, Milliseconds(Options.MinionSilenceMs), monotonicNow());
  std::map<std::string, Minion> Remaining;
  for (const auto &Each : Alive) {
    const std::string &Node = Each.LastHeartbeat.node();
    Minion &State = Minions[Node];
    const std::uint32_t Reported = Each.LastHeartbeat.minion().in_flight();
    State.InFlightElsewhere =
        Reported > State.InFlightHere ? Reported - State.InFlightHere : 0;
    Remaining[Node] = State;
  }
  for (const auto &[Node, State] : Minions)
    if (State.InFlightHere > 0)
      Remaining[Node] = State;
  Minions = std::move(Remaining);
  grantWaiters();
}

void MinionPool::grantWaiters() {
  std::vector<Waiter *> Order(Waiters.begin(), Waiters.end());
  std::sort(Order.begin(), Order.end(), [&](Waiter *Lhs, Waiter *Rhs) {
    const auto InFlight = [&](Waiter *Waiting) {
      const auto Found = ByWorkspace.find(Waiting->Request->Workspace);
      return Found == ByWorkspace.end() ? 0U : Found->second;
    };
    const std::uint32_t LhsInFlight = InFlight(Lhs);
    const std::uint32_t RhsInFlight = InFlight(Rhs);
    return LhsInFlight != RhsInFlight ? LhsInFlight < RhsInFlight
                                      : Lhs->Number < Rhs->Number;
  });
  for (Waiter *Each : Order) {
    if (pick(*Each->Request, Each->Member) != Pick::Found)
      continue;
    reserveSlot(Each->Member.LastHeartbeat.node(), Each->Request->Workspace);
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
