#include "entry/Router.h"

#include <thread>

namespace baobabcove {

namespace {

/// Added to the deadline when waiting for an agent, which keeps the deadline
/// itself and answers by then.
constexpr Milliseconds AnswerGrace{250};
constexpr Milliseconds AskPatience{1500};
constexpr Milliseconds AskPause{100};
constexpr Milliseconds AgentPatience{3000};
/// Time for which the outcome is asked for after the deadline has passed.
constexpr Milliseconds AskGrace{2000};
constexpr int MaxAttempts = 4;

ResultCode codeOf(const wire::ExecuteReply &Reply) {
  return static_cast<ResultCode>(Reply.code());
}

wire::ExecuteReply replyOf(const Error &Fault) {
  wire::ExecuteReply Reply;
  Reply.set_code(static_cast<std::uint32_t>(Fault.Code));
  Reply.set_detail(Fault.Detail);
  return Reply;
}

bool hasNotRun(const wire::ExecuteReply &Reply) {
  return resultInfo(codeOf(Reply)).Ran == Outcome::NotRun;
}

/// Refusals that another minion may not share.
bool isOfThisMinion(ResultCode Code) {
  switch (Code) {
  case ResultCode::Overloaded:
  case ResultCode::Draining:
  case ResultCode::NoMinion:
  case ResultCode::OutcomeTableFull:
  case ResultCode::Withdrawn:
  case ResultCode::PeerNotConnected:
    return true;
  default:
    return false;
  }
}

DeliveryMark markOf(const wire::ExecuteReply &Reply) {
  switch (codeOf(Reply)) {
  case ResultCode::Ok:
  case ResultCode::KeyReused:
    return DeliveryMark::Good;
  case ResultCode::MinionFailed:
  case ResultCode::AgentLost:
  case ResultCode::NoMinion:
  case ResultCode::Withdrawn:
  case ResultCode::PeerNotConnected:
  case ResultCode::DeadlineAfterStart:
    return DeliveryMark::Failed;
  default:
    return DeliveryMark::Refused;
  }
}

Milliseconds remaining(const RouteRequest &Request) {
  return std::max(Request.Deadline - monotonicNow(), Milliseconds(0));
}

} // namespace

Router::Router(const Settings &Of, const Members &Known, RpcPeers &Peers,
               KeyClaims &Claims, Metrics &Figures)
    : Of(Of), Known(Known), Peers(Peers), Claims(Claims), Figures(Figures),
      Pool(Of, Known), Budget(Of.RetryPercent) {}

wire::ExecuteReply Router::route(RouteRequest Request) {
  Budget.earn();
  const std::string &Id = Request.Message.request_id();
  if (const auto Ticket = KeyClaims::readTicket(Id))
    return routePinned(Request, *Ticket);
  if (Request.Keyed && !Request.Message.idempotent())
    return routeClaimed(Request);
  return routeFree(Request);
}

bool Router::mayTryElsewhere(const wire::ExecuteReply &Reply,
                             const RouteRequest &Request) {
  if (remaining(Request).count() == 0)
    return false;
  const bool Useful = hasNotRun(Reply)
                          ? isOfThisMinion(codeOf(Reply))
                          : resultInfo(codeOf(Reply)).Ran == Outcome::Unknown &&
                                Request.Message.idempotent();
  if (!Useful)
    return false;
  if (Budget.spend()) {
    Figures.count("retries");
    return true;
  }
  Figures.count("retries_refused_by_budget");
  return false;
}

wire::ExecuteReply Router::routeFree(RouteRequest &Request) {
  SlotRequest Wanted{Request.Message.service(),
                     Request.Message.workspace(),
                     {},
                     Request.Deadline};
  wire::ExecuteReply Reply;
  for (int Tries = 0; Tries < MaxAttempts; ++Tries) {
    const auto To = Pool.acquire(Wanted);
    if (!To)
      return Tries == 0 ? replyOf(To.error()) : Reply;
    Reply = deliverCounted(*To, Request);
    if (codeOf(Reply) == ResultCode::Ok || !mayTryElsewhere(Reply, Request))
      return Reply;
    Wanted.Excluded.insert(To->Beat.node());
  }
  return Reply;
}

wire::ExecuteReply Router::routeClaimed(RouteRequest &Request) {
  const std::string &Workspace = Request.Message.workspace();
  const std::string &Key = Request.Message.request_id();
  SlotRequest Wanted{
      Request.Message.service(), Workspace, {}, Request.Deadline};
  auto Present = Claims.find(Workspace, Key);
  if (!Present)
    return replyOf(Present.error());
  std::int64_t Revision = 0;
  wire::ExecuteReply Reply;
  for (int Tries = 0; Tries < MaxAttempts; ++Tries) {
    if (*Present) {
      Reply = routePinned(Request, (*Present)->Claim);
      Revision = (*Present)->Revision;
      MemberRecord Held;
      // The key may go to another agent once this one will never run it.
      if (!hasNotRun(Reply) || !isOfThisMinion(codeOf(Reply)) ||
          !Known.find(NodeId((*Present)->Claim.node()), Held) ||
          !bar(Held, Request) || !mayTryElsewhere(Reply, Request))
        return Reply;
      Wanted.Excluded.insert(Held.Beat.node());
    }
    // The slot is only to choose the agent; the pinned delivery counts itself.
    const auto To = Pool.acquire(Wanted);
    if (!To)
      return Tries == 0 || Reply.code() == 0 ? replyOf(To.error()) : Reply;
    const auto Held = Claims.claim(Workspace, Key, *To, Revision);
    Pool.release(To->Beat.node(), Workspace, DeliveryMark::Refused,
                 Milliseconds(0), -1);
    if (!Held)
      return replyOf(Held.error());
    *Present = *Held;
  }
  return Reply;
}

/// An entry that has just begun has not heard of every agent yet.
bool Router::waitForAgent(const RouteRequest &Request, const std::string &Node,
                          MemberRecord &Found) const {
  const Instant GiveUp =
      std::min(Request.Deadline, monotonicNow() + AgentPatience);
  while (!Known.find(NodeId(Node), Found)) {
    if (monotonicNow() >= GiveUp)
      return false;
    std::this_thread::sleep_for(AskPause);
  }
  return true;
}

wire::ExecuteReply Router::routePinned(RouteRequest &Request,
                                       const wire::RequestClaim &Pin) {
  MemberRecord To;
  if (!waitForAgent(Request, Pin.node(), To))
    return replyOf({ResultCode::AgentLost,
                    "The agent " + Pin.node() + " is not known here."});
  Request.Message.set_pinned_incarnation(Pin.incarnation());
  Request.Message.set_pinned_period(Pin.period());
  Pool.occupy(To.Beat.node(), Request.Message.workspace());
  return deliverCounted(To, Request);
}

wire::ExecuteReply Router::deliverCounted(const MemberRecord &To,
                                          RouteRequest &Request) {
  const Instant Began = monotonicNow();
  wire::ExecuteReply Reply = deliver(To, Request);
  const bool Said = Reply.slots() > 0;
  Pool.release(To.Beat.node(), Request.Message.workspace(), markOf(Reply),
               monotonicNow() - Began,
               Said ? static_cast<int>(Reply.in_flight()) : -1);
  return Reply;
}

wire::ExecuteReply Router::deliver(const MemberRecord &To,
                                   RouteRequest &Request) {
  const Milliseconds Left = remaining(Request);
  if (Left.count() == 0)
    return replyOf({ResultCode::DeadlineBeforeStart,
                    "The deadline passed before it was sent."});
  Request.Message.set_deadline_ms(static_cast<std::uint32_t>(Left.count()));
  Figures.count("deliveries");
  const auto Reply =
      Peers.execute(To.Beat.rpc_address(), Request.Message, Left + AnswerGrace);
  if (Reply)
    return *Reply;
  if (Reply.error().Code == ResultCode::PeerNotConnected)
    return replyOf(Reply.error());
  return askOutcome(To, Request);
}

/// The connection broke with the request on it. The agent, asked by id on a
/// new one, tells how it ended, or bars it from running late.
wire::ExecuteReply Router::askOutcome(const MemberRecord &To,
                                      RouteRequest &Request) {
  Figures.count("outcomes_asked");
  wire::ExecuteRequest Question = Request.Message;
  Question.clear_body();
  Question.set_ask_only(true);
  if (Question.pinned_incarnation() == 0) {
    Question.set_pinned_incarnation(To.Beat.incarnation());
    Question.set_pinned_period(To.Beat.minion().outcome_period());
  }
  const Instant GiveUp = Request.Deadline + AskGrace;
  Peers.forget(To.Beat.rpc_address());
  while (monotonicNow() < GiveUp) {
    const Milliseconds Patience =
        std::min(AskPatience, GiveUp - monotonicNow());
    Question.set_deadline_ms(static_cast<std::uint32_t>(
        std::max(Patience - AnswerGrace, Milliseconds(1)).count()));
    const auto Answer =
        Peers.execute(To.Beat.rpc_address(), Question, Patience);
    if (Answer && codeOf(*Answer) != ResultCode::DeadlineAfterStart)
      return *Answer;
    if (!Answer)
      Peers.forget(To.Beat.rpc_address());
    MemberRecord Present;
    const bool Replaced = Known.find(NodeId(To.Beat.node()), Present) &&
                          Present.Beat.incarnation() != To.Beat.incarnation();
    const bool Silent =
        monotonicNow() - Present.HeardAt > Milliseconds(Of.MinionSilenceMs);
    if (!Answer && (Replaced || Silent))
      break;
    std::this_thread::sleep_for(AskPause);
  }
  return replyOf(
      {ResultCode::AgentLost, "The agent was lost while it had the request."});
}

/// Makes sure that the agent will not run the request any more.
bool Router::bar(const MemberRecord &At, RouteRequest &Request) {
  wire::ExecuteRequest Question = Request.Message;
  Question.clear_body();
  Question.set_ask_only(true);
  Question.set_deadline_ms(static_cast<std::uint32_t>(AskPatience.count()));
  const auto Answer =
      Peers.execute(At.Beat.rpc_address(), Question, AskPatience + AnswerGrace);
  return Answer && codeOf(*Answer) == ResultCode::Withdrawn;
}

} // namespace baobabcove
