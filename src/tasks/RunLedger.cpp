#include "tasks/RunLedger.h"

namespace baobabcove {

namespace {

/// A stop that was not answered is sent again after this.
constexpr Milliseconds StopRetry{150};

} // namespace

std::vector<std::pair<RunId, bool>>
RunLedger::take(const wire::TaskOrders &Orders, BootInstant Now) {
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
    if (Next.Is == State::Starting || Next.Is == State::Started) {
      Next = Entry();
      Next.Is = State::Stopping;
      Send.emplace_back(Run, true);
    }
    Kept[Run] = Next;
  }
  Runs = std::move(Kept);
  for (auto &[Run, Known] : Runs)
    if (Known.Is == State::Stopping && Known.At != BootInstant{} &&
        Now - Known.At > StopRetry) {
      Known.At = BootInstant{};
      Send.emplace_back(Run, true);
    }
  return Send;
}

void RunLedger::started(const RunId &Run) {
  const auto Known = Runs.find(Run);
  if (Known != Runs.end() && Known->second.Is == State::Starting)
    Known->second.Is = State::Started;
}

void RunLedger::refused(const RunId &Run, wire::RefusalReason Reason) {
  const auto Known = Runs.find(Run);
  if (Known == Runs.end() || Known->second.Is != State::Starting)
    return;
  Known->second.Is = State::Over;
  Known->second.Reason = Reason;
}

void RunLedger::doubt(const RunId &Run) {
  const auto Known = Runs.find(Run);
  if (Known == Runs.end() || Known->second.Is != State::Starting)
    return;
  Known->second.Is = State::Stopping;
}

void RunLedger::stopped(const RunId &Run, BootInstant At) {
  const auto Known = Runs.find(Run);
  if (Known == Runs.end() || Known->second.Is != State::Stopping)
    return;
  Known->second.Is = State::Stopped;
  Known->second.At = At;
}

void RunLedger::stopFailed(const RunId &Run, BootInstant At) {
  const auto Known = Runs.find(Run);
  if (Known != Runs.end() && Known->second.Is == State::Stopping)
    Known->second.At = At;
}

void RunLedger::barred(const RunId &Run) {
  const auto Known = Runs.find(Run);
  if (Known == Runs.end())
    return;
  Known->second.Is = State::Over;
  Known->second.Reason = wire::REFUSED_BARRED;
}

bool RunLedger::takeListing(const std::set<RunId> &Known, BootInstant AskedAt) {
  bool News = false;
  for (auto &[Run, Of] : Runs) {
    if (Of.Is != State::Stopped || AskedAt < Of.At || Known.count(Run))
      continue;
    Of.Is = State::Over;
    Of.Reason = wire::REFUSED_BARRED;
    News = true;
  }
  return News;
}

bool RunLedger::wantsStart(const RunId &Run) const {
  const auto Known = Runs.find(Run);
  return Known != Runs.end() && Known->second.Is == State::Starting;
}

std::vector<wire::RunRefusal> RunLedger::refusals() const {
  std::vector<wire::RunRefusal> Refusals;
  for (const auto &[Run, Of] : Runs) {
    if (Of.Is != State::Over)
      continue;
    wire::RunRefusal Refusal;
    Refusal.set_task(Run.first);
    Refusal.set_run(Run.second);
    Refusal.set_reason(Of.Reason);
    Refusals.push_back(std::move(Refusal));
  }
  return Refusals;
}

} // namespace baobabcove
