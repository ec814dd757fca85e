#include "tasks/agent/RunOrderTracker.h"

namespace baobabcove {

namespace {

/// An unanswered or refused stop is sent again after this delay.
constexpr Milliseconds StopRetryDelay{150};
/// After this time, a listing that has no room for all ends is taken for
/// complete: the coordinator may hold back the acknowledgement that makes room
/// until the run is barred.
constexpr Milliseconds MaxWaitForEnds{5000};

} // namespace

std::vector<std::pair<RunId, bool>>
RunOrderTracker::update(const wire::TaskOrders &Orders, BootInstant Now) {
  std::map<RunId, Entry> Kept;
  for (const wire::StartOrder &Start : Orders.starts()) {
    const RunId Run(Start.task(), Start.run());
    const auto Known = Runs.find(Run);
    Entry &Next = Kept[Run];
    if (Known != Runs.end())
      Next = Known->second;
    Next.MayBeAtWorker = Next.MayBeAtWorker || Start.may_have_been_sent();
  }
  for (const wire::RunKey &Stop : Orders.stops()) {
    const RunId Run(Stop.task(), Stop.run());
    const auto Known = Runs.find(Run);
    Entry Next = Known == Runs.end() ? Entry() : Known->second;
    if (Next.State == OrderState::Starting ||
        Next.State == OrderState::Started) {
      Next = Entry();
      Next.State = OrderState::Stopping;
    }
    Kept[Run] = Next;
  }
  Runs = std::move(Kept);
  std::vector<std::pair<RunId, bool>> Send;
  for (auto &[Run, Known] : Runs) {
    const bool IsStop = Known.State == OrderState::Stopping;
    if (IsStop && Known.LastStopAt != BootInstant{} &&
        Now - Known.LastStopAt > StopRetryDelay) {
      Known.LastStopAt = BootInstant{};
      Known.NeedsSend = true;
    }
    if (Known.NeedsSend && (IsStop || Known.State == OrderState::Starting))
      Send.emplace_back(Run, IsStop);
    Known.NeedsSend = false;
  }
  return Send;
}

void RunOrderTracker::postpone(const RunId &Run) {
  const auto Known = Runs.find(Run);
  if (Known != Runs.end())
    Known->second.NeedsSend = true;
}

void RunOrderTracker::markSent(const RunId &Run) {
  const auto Known = Runs.find(Run);
  if (Known != Runs.end())
    Known->second.MayBeAtWorker = true;
}

std::size_t RunOrderTracker::voidStarts() {
  std::size_t Count = 0;
  for (auto &[Run, Order] : Runs) {
    if (Order.State != OrderState::Starting)
      continue;
    Order.State =
        Order.MayBeAtWorker ? OrderState::Stopping : OrderState::NeverStarted;
    Order.Reason = wire::REFUSED_LATE;
    Order.NeedsSend = true;
    ++Count;
  }
  return Count;
}

void RunOrderTracker::markStarted(const RunId &Run) {
  const auto Known = Runs.find(Run);
  if (Known != Runs.end() && Known->second.State == OrderState::Starting)
    Known->second.State = OrderState::Started;
}

void RunOrderTracker::markRefused(const RunId &Run,
                                  wire::RefusalReason Reason) {
  const auto Known = Runs.find(Run);
  if (Known == Runs.end() || Known->second.State != OrderState::Starting)
    return;
  Known->second.State = OrderState::NeverStarted;
  Known->second.Reason = Reason;
}

void RunOrderTracker::markUnknown(const RunId &Run) {
  const auto Known = Runs.find(Run);
  if (Known == Runs.end() || Known->second.State != OrderState::Starting)
    return;
  Known->second.State = OrderState::Stopping;
  Known->second.NeedsSend = true;
}

void RunOrderTracker::markStopped(const RunId &Run, BootInstant At) {
  const auto Known = Runs.find(Run);
  if (Known == Runs.end() || Known->second.State != OrderState::Stopping)
    return;
  Known->second.State = OrderState::Stopped;
  Known->second.LastStopAt = At;
}

void RunOrderTracker::markStopFailed(const RunId &Run, BootInstant At) {
  const auto Known = Runs.find(Run);
  if (Known != Runs.end() && Known->second.State == OrderState::Stopping)
    Known->second.LastStopAt = At;
}

void RunOrderTracker::markBarred(const RunId &Run) {
  const auto Known = Runs.find(Run);
  if (Known == Runs.end())
    return;
  Known->second.State = OrderState::NeverStarted;
  Known->second.Reason = wire::REFUSED_BARRED;
}

bool RunOrderTracker::applyListing(const std::set<RunId> &Known,
                                   BootInstant RequestedAt, bool MayLackEnds) {
  bool Changed = false;
  for (auto &[Run, Order] : Runs) {
    if (Order.State != OrderState::Stopped || RequestedAt < Order.LastStopAt ||
        Known.count(Run) ||
        (MayLackEnds && RequestedAt - Order.LastStopAt < MaxWaitForEnds))
      continue;
    Order.State = OrderState::NeverStarted;
    Order.Reason = wire::REFUSED_BARRED;
    Changed = true;
  }
  return Changed;
}

bool RunOrderTracker::isStartPending(const RunId &Run) const {
  const auto Known = Runs.find(Run);
  return Known != Runs.end() && Known->second.State == OrderState::Starting;
}

std::set<RunId> RunOrderTracker::unresolved() const {
  std::set<RunId> Unresolved;
  for (const auto &[Run, Order] : Runs)
    if (Order.State == OrderState::Stopping ||
        (Order.State == OrderState::Starting && Order.MayBeAtWorker))
      Unresolved.insert(Run);
  return Unresolved;
}

std::vector<wire::RunRefusal> RunOrderTracker::refusals() const {
  std::vector<wire::RunRefusal> Refusals;
  for (const auto &[Run, Order] : Runs) {
    if (Order.State != OrderState::NeverStarted)
      continue;
    wire::RunRefusal Refusal;
    Refusal.set_task(Run.first);
    Refusal.set_run(Run.second);
    Refusal.set_reason(Order.Reason);
    Refusals.push_back(std::move(Refusal));
  }
  return Refusals;
}

} // namespace baobabcove
