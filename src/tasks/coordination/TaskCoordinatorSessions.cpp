/// \file
/// The part of TaskCoordinator that exchanges reports and orders with agents.

#include "tasks/coordination/TaskCoordinator.h"

#include <algorithm>
#include <limits>

namespace baobabcove {

namespace {

constexpr std::uint64_t RevisionsPerTerm = 1000000;
/// A start that was sent is carried out within 12 s or never. The margin covers
/// the time since its sender's grant ran out.
constexpr Milliseconds LateStartTimeout{20000};
/// Bars of one worker; more unanswered starts do not fit its agent's orders.
constexpr std::size_t MaxBars = 4096;
/// Polls that one core answers in a second beside the rounds.
constexpr double PollsPerCore = 360;
constexpr Milliseconds MinPollInterval{400};
constexpr Milliseconds MaxPollInterval{1000};
/// Longest time that the answer to a report of expired leases waits for the
/// report to be applied. Shorter than the agent's timeout.
constexpr Milliseconds MaxApplicationWait{300};

/// Whether a report calls for a round at once. An agent sends its news without
/// a wait; its polls repeat them and are applied by the next periodic round.
bool hasNews(const wire::TaskReport &Known, const wire::TaskReport &Report) {
  return Report.wait_ms() == 0 || Known.agent_life() != agentOf(Report) ||
         Known.worker() != Report.worker() ||
         Known.complete() != Report.complete() ||
         Known.lapsed() != Report.lapsed();
}

/// Returns the number of the last report that was applied of the agent
/// incarnation that made \p Report; zero for none.
std::uint64_t appliedSequence(const WorkerSession &Session,
                              const wire::TaskReport &Report) {
  return Session.AppliedAgent == agentOf(Report) ? Session.AppliedSequence : 0;
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
  // The agent extends no lease before its report of expired ones is applied.
  // Its polls repeat that report for as long as its worker is silent.
  const bool AwaitsApplied = Report.lapsed() && Report.wait_ms() == 0;
  const Instant Until =
      monotonicNow() +
      (AwaitsApplied ? MaxApplicationWait : Milliseconds(Report.wait_ms()));
  std::unique_lock<std::mutex> Lock(Mutex);
  wire::TaskOrders NotCoordinating;
  const auto TermAtCall = Role ? Role->term() : std::nullopt;
  if (Stopping || !TermAtCall || !Role->isConfirmed())
    return NotCoordinating;
  beginSessions(TermAtCall->Number);
  WorkerSession &Session = Sessions[Node];
  const BootInstant CalledAt = BootClock::now();
  Session.CalledAt = CalledAt;
  Session.GrantedAt = std::max(Session.GrantedAt, CalledAt);
  const bool IsCurrent = Session.Agents.isCurrent(
      Report, firstRevision(TermAtCall->Number) + ++LastAgentSession);
  if (!IsCurrent)
    Session.OtherAgentCalledAt = CalledAt;
  if (IsCurrent && Session.Agents.isNew(Report)) {
    if (hasNews(Session.Report, Report)) {
      HasWork = true;
      Wake.notify_all();
    }
    Session.Report = Report;
    Session.Report.set_agent_life(agentOf(Report));
    Session.HasNewReport = true;
  }
  const auto OrdersChanged = Session.OrdersChanged;
  OrdersChanged->wait_until(Lock, Until, [&] {
    Stats.count("attend_wakeups");
    return Stopping || !Role->term() || !IsCurrent ||
           (AwaitsApplied &&
            appliedSequence(Sessions[Node], Report) >= Report.sequence()) ||
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
  WorkerSession &Replied = Sessions[Node];
  wire::TaskOrders Reply;
  if (Serving == Term->Number && areOrdersFor(Replied, Report)) {
    // Orders that the agent has are not sent again.
    if (Replied.Orders.revision() == Report.orders_seen())
      Reply.set_revision(Replied.Orders.revision());
    else
      Reply = Replied.Orders;
  }
  addBars(Replied, Now, Reply);
  Replied.GrantedAt = Now;
  Reply.set_applied_sequence(appliedSequence(Replied, Report));
  Reply.set_agent_session(Replied.Agents.sessionFor(Report));
  Reply.set_coordinating(true);
  Reply.set_epoch(Term->Number.value());
  Reply.set_grant_ms(static_cast<std::uint32_t>(Settings.Grant.count()));
  Reply.set_held_ms(static_cast<std::uint32_t>((Now - CalledAt).count()));
  Reply.set_poll_ms(static_cast<std::uint32_t>(
      pollInterval(Sessions.size(), Settings.CpuShare).count()));
  limitStarts(Report, CalledAt, Reply);
  *Reply.mutable_services() = Services;
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
         Session.OrdersAgent == agentOf(Report) &&
         !isLessInAnyPart(capacityOf(Session.Report), Session.OrdersCapacity);
}

void TaskCoordinator::addBars(WorkerSession &Session, BootInstant Now,
                              wire::TaskOrders &Reply) {
  for (auto Bar = Session.Bars.begin(); Bar != Session.Bars.end();) {
    if (Bar->second < Now) {
      Bar = Session.Bars.erase(Bar);
      continue;
    }
    wire::RunKey &Run = *Reply.add_bars();
    Run.set_task(Bar->first.first);
    Run.set_run(Bar->first.second);
    ++Bar;
  }
}

void TaskCoordinator::applyExpiry(WorkerSession &Session,
                                  const ClockReading &Now) {
  // A new agent incarnation may have a grant already, and does not know the
  // starts that the one before it has sent.
  if (Now.Boot - Session.OtherAgentCalledAt <= leaseExpiry())
    return;
  Stats.count("lapsed_reports");
  Tracker.applyReport(Session.Report, Now);
  noteGivenUp(Session, Tracker.takeGivenUp(), Now.Boot);
}

void TaskCoordinator::expireLeases(const NodeId &Node, WorkerSession &Session,
                                   const ClockReading &Now) {
  // No agent gets these orders from now on, not even if the store delays the
  // next ones.
  Session.OrdersAgent = 0;
  Stats.count("expired_agents");
  Tracker.expireLeases({Node, WorkerIncarnation(Session.Report.worker()),
                        Current, std::numeric_limits<std::uint64_t>::max()},
                       Now);
  noteGivenUp(Session, Tracker.takeGivenUp(), Now.Boot);
}

void TaskCoordinator::noteGivenUp(WorkerSession &Session,
                                  const std::vector<RunName> &GivenUp,
                                  BootInstant Now) {
  for (const RunName &Run : GivenUp)
    if (Session.Bars.size() < MaxBars)
      Session.Bars[Run] = Now + LateStartTimeout;
}

void TaskCoordinator::noteApplied(WorkerSession &Session,
                                  const wire::TaskReport &Report) {
  Session.AppliedSequence = Report.sequence();
  Session.AppliedAgent = Report.agent_life();
  if (Report.lapsed() && Report.wait_ms() == 0)
    Session.OrdersChanged->notify_all();
}

void TaskCoordinator::beginSessions(Epoch Term) {
  if (SessionsTerm == Term)
    return;
  SessionsTerm = Term;
  notifyAllSessions();
  Sessions.clear();
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
    const std::uint64_t Next =
        std::max(Session.Orders.revision(), firstRevision(Serving)) + 1;
    wire::TaskOrders Orders = Tracker.ordersFor(Session.Report, Next);
    std::string Serialized = Orders.SerializeAsString();
    if (Serialized == Session.PublishedOrders &&
        Session.OrdersAgent == Session.Report.agent_life())
      continue;
    Orders.set_revision(Next);
    Session.Orders = std::move(Orders);
    Session.OrdersAgent = Session.Report.agent_life();
    Session.PublishedOrders = std::move(Serialized);
    Session.OrdersChanged->notify_all();
  }
}

} // namespace baobabcove
