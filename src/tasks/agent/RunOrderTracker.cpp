#include "tasks/agent/RunOrderTracker.h"

namespace baobabcove {

namespace {

/// An unanswered or refused stop is sent again after this delay.
constexpr Milliseconds StopRetryDelay{150};

} // namespace

std::vector<std::pair<RunId, bool>>
RunOrderTracker::update(const wire::TaskOrders &Orders, BootInstant Now) {
  std::vector<std::pair<RunId, bool>> Send;
  std::map<RunId, Entry> Kept;
  for (const wire::StartOrder &Start : Orders.starts()) {
    const RunId Run(Start.task(), Start.run());
    const auto Known = Runs.find(Run);
    Kept[Run] = Known == Runs.end() ? Entry() : Known->second;
    if (Known == Runs.end())
      Send.emplace_back(Run, false);
  }
  for (const wire::RunKey &Stop : Orders.stops()) {
    const RunId Run(Stop.task(), Stop.run());
    const auto Known = Runs.find(Run);
    Entry Next = Known == Runs.end() ? Entry() : Known->second;
    if (Next.State == OrderState::Starting ||
        Next.State == OrderState::Started) {
      Next = Entry();
      Next.State = OrderState::Stopping;
      Send.emplace_back(Run, true);
    }
    Kept[Run] = Next;
  }
  Runs = std::move(Kept);
  for (auto &[Run, Known] : Runs)
    if (Known.State == OrderState::Stopping &&
        Known.LastStopAt != BootInstant{} &&
        Now - Known.LastStopAt > StopRetryDelay) {
      Known.LastStopAt = BootInstant{};
      Send.emplace_back(Run, true);
    }
  return Send;
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
                                   BootInstant RequestedAt) {
  bool Changed = false;
  for (auto &[Run, Order] : Runs) {
    if (Order.State != OrderState::Stopped || RequestedAt < Order.LastStopAt ||
        Known.count(Run))
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
