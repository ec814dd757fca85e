/// \file
/// The part of TaskCoordinator that exchanges reports and orders with agents.

#include "tasks/coordination/TaskCoordinator.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::uint64_t RevisionsPerTerm = 1000000;
/// Polls that one core answers in a second beside the rounds.
constexpr double PollsPerCore = 360;
constexpr Milliseconds MinPollInterval{400};
constexpr Milliseconds MaxPollInterval{1000};

/// Whether a report calls for a round at once. An agent sends its news without
/// a wait; its polls repeat them and are applied by the next periodic round.
bool hasNews(const wire::TaskReport &Known, const wire::TaskReport &Report) {
  return Report.wait_ms() == 0 || Known.agent_life() != Report.agent_life() ||
         Known.worker() != Report.worker() ||
         Known.complete() != Report.complete() ||
         Known.lapsed() != Report.lapsed();
}

} // namespace

Milliseconds pollInterval(std::size_t Agents, double CpuShare) {
  const double IntervalMs = 1000 * double(Agents) / (PollsPerCore * CpuShare);
  return Milliseconds(static_cast<std::int64_t>(
      std::clamp(IntervalMs, double(MinPollInterval.count()),
                 double(MaxPollInterval.count()))));
}

wire::TaskOrders TaskCoordinator::attend(const wire::TaskReport &Report) {
  Stats.count("attend_calls");
  const NodeId Node(Report.node());
  const Instant Until = monotonicNow() + Milliseconds(Report.wait_ms());
  std::unique_lock<std::mutex> Lock(Mutex);
  wire::TaskOrders NotCoordinating;
  if (Stopping || !Role || !Role->term() || !Role->isConfirmed())
    return NotCoordinating;
  WorkerSession &Session = Sessions[Node];
  const BootInstant CalledAt = BootClock::now();
  Session.CalledAt = CalledAt;
  Session.GrantedAt = std::max(Session.GrantedAt, CalledAt);
  const wire::TaskReport &Known = Session.Report;
  if (hasNews(Known, Report)) {
    HasWork = true;
    Wake.notify_all();
  }
  if (Known.agent_life() < Report.agent_life() ||
      (Known.agent_life() == Report.agent_life() &&
       Known.sequence() < Report.sequence())) {
    Session.Report = Report;
    Session.HasNewReport = true;
  }
  const auto OrdersChanged = Session.OrdersChanged;
  OrdersChanged->wait_until(Lock, Until, [&] {
    Stats.count("attend_wakeups");
    return Stopping || !Role->term() ||
           (Serving != Epoch() &&
            Sessions[Node].Orders.revision() != Report.orders_seen() &&
            areOrdersFor(Sessions[Node], Report));
  });
  // The grant counts from the answer, so that a held poll does not shorten it.
  // Taken before the role is checked, so that it starts within the term.
  const BootInstant Now = BootClock::now();
  const auto Term = Role->term();
  if (Stopping || !Term || !Role->isConfirmed())
    return NotCoordinating;
  wire::TaskOrders Reply;
  if (Serving == Term->Number && areOrdersFor(Sessions[Node], Report))
    Reply = Sessions[Node].Orders;
  Sessions[Node].GrantedAt = Now;
  Reply.set_coordinating(true);
  Reply.set_epoch(Term->Number.value());
  Reply.set_grant_ms(static_cast<std::uint32_t>(Settings.Grant.count()));
  Reply.set_held_ms(static_cast<std::uint32_t>((Now - CalledAt).count()));
  Reply.set_poll_ms(static_cast<std::uint32_t>(
      pollInterval(Sessions.size(), Settings.CpuShare).count()));
  limitStarts(Report, CalledAt, Reply);
  return Reply;
}

void TaskCoordinator::limitStarts(const wire::TaskReport &Report,
                                  BootInstant CalledAt,
                                  wire::TaskOrders &Reply) const {
  const BootInstant Until =
      StartRules(Config().Evacuated, Settings.EvacuationBound)
          .startsUntil(DataCentreName(Report.data_centre()));
  if (Until == BootInstant::max())
    return;
  Reply.set_starts_limited(true);
  Reply.set_starts_for_ms(static_cast<std::uint32_t>(
      std::max(Until - CalledAt, Milliseconds(0)).count()));
}

bool TaskCoordinator::areOrdersFor(const WorkerSession &Session,
                                   const wire::TaskReport &Report) {
  // A later report of the worker replaces the capacity of a held one.
  return Session.Orders.worker() == Report.worker() &&
         !isLessInAnyPart(capacityOf(Session.Report), Session.OrdersCapacity);
}

std::uint64_t TaskCoordinator::firstRevision(Epoch Term) {
  return Term.value() * RevisionsPerTerm;
}

void TaskCoordinator::notifyAllSessions() {
  for (const auto &[Node, Session] : Sessions)
    Session.OrdersChanged->notify_all();
}

void TaskCoordinator::publish() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (auto &[Node, Session] : Sessions) {
    if (Session.Report.node().empty())
      continue;
    if (isLessInAnyPart(Session.Capacity, Session.OrdersCapacity))
      Session.OrdersChanged->notify_all();
    Session.OrdersCapacity = Session.Capacity;
    wire::TaskOrders Orders = Tracker.ordersFor(Session.Report);
    std::string Serialized = Orders.SerializeAsString();
    if (Serialized == Session.PublishedOrders)
      continue;
    const std::uint64_t Last =
        std::max(Session.Orders.revision(), firstRevision(Serving));
    Orders.set_revision(Last + 1);
    Session.Orders = std::move(Orders);
    Session.PublishedOrders = std::move(Serialized);
    Session.OrdersChanged->notify_all();
  }
}

} // namespace baobabcove
