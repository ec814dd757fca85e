#include "entry/Router.h"

#include <thread>

namespace baobabcove {

namespace {

/// Added to the deadline of a call to an agent, which enforces the deadline
/// itself and needs this time to answer.
constexpr Milliseconds AnswerGrace{250};
constexpr Milliseconds OutcomeQueryTimeout{1500};
constexpr Milliseconds PollPause{100};
constexpr Milliseconds AgentWaitTimeout{3000};
/// Time after the deadline in which the outcome is still queried.
constexpr Milliseconds OutcomeQueryGrace{2000};
constexpr int MaxAttempts = 4;

ResultCode codeOf(const wire::ExecuteReply &Reply) {
  return static_cast<ResultCode>(Reply.code());
}

wire::ExecuteReply replyOf(const Error &Err) {
  wire::ExecuteReply Reply;
  Reply.set_code(static_cast<std::uint32_t>(Err.Code));
  Reply.set_detail(Err.Detail);
  return Reply;
}

bool didNotRun(const wire::ExecuteReply &Reply) {
  return resultInfo(codeOf(Reply)).RunOutcome == Outcome::NotRun;
}

/// Returns whether another minion may accept a request refused with \p Code.
bool isMinionSpecific(ResultCode Code) {
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

DeliveryResult deliveryResultOf(const wire::ExecuteReply &Reply) {
  switch (codeOf(Reply)) {
  case ResultCode::Ok:
  case ResultCode::KeyReused:
    return DeliveryResult::Succeeded;
  case ResultCode::MinionFailed:
  case ResultCode::AgentLost:
  case ResultCode::NoMinion:
  case ResultCode::Withdrawn:
  case ResultCode::PeerNotConnected:
  case ResultCode::DeadlineAfterStart:
    return DeliveryResult::Failed;
  default:
    return DeliveryResult::Refused;
  }
}

Milliseconds remaining(const RouteRequest &Request) {
  return std::max(Request.Deadline - monotonicNow(), Milliseconds(0));
}

/// Returns the outcome of a request with a caller's key while the claims cannot
/// be read or written: an earlier delivery with this key may have run.
wire::ExecuteReply replyWithoutClaim(const Error &Err) {
  return replyOf({ResultCode::OutcomeUnknown,
                  "Whether an earlier request with this key ran cannot be "
                  "determined: " +
                      Err.Detail + " A ticket as the key needs no store."});
}

/// Returns \p Reply to a request of which an earlier delivery may have reached
/// the agent. If this entry did not reach the agent, nothing is known of it.
wire::ExecuteReply replyToRepeated(const wire::ExecuteReply &Reply) {
  if (codeOf(Reply) != ResultCode::PeerNotConnected &&
      codeOf(Reply) != ResultCode::DeadlineBeforeStart)
    return Reply;
  return replyOf({ResultCode::OutcomeUnknown,
                  "The agent that may have run an earlier request with this "
                  "key was not reached: " +
                      Reply.detail()});
}

} // namespace

Router::Router(const Settings &Options, const MemberTable &Membership,
               RpcPeers &Peers, ClaimStore &Claims, Metrics &Stats)
    : Options(Options), Membership(Membership), Peers(Peers), Claims(Claims),
      Stats(Stats), Pool(Options, Membership), Budget(Options.RetryPercent) {}

wire::ExecuteReply Router::route(RouteRequest Request) {
  Budget.deposit();
  const std::string &Id = Request.Message.request_id();
  if (const auto Ticket = ClaimStore::parseTicket(Id))
    return replyToRepeated(routePinned(Request, *Ticket));
  if (Request.Keyed && !Request.Message.idempotent())
    return routeClaimed(Request);
  return routeToAny(Request);
}

bool Router::mayRetry(const wire::ExecuteReply &Reply,
                      const RouteRequest &Request) {
  if (remaining(Request).count() == 0)
    return false;
  const bool Retryable =
      didNotRun(Reply)
          ? isMinionSpecific(codeOf(Reply))
          : resultInfo(codeOf(Reply)).RunOutcome == Outcome::Unknown &&
                Request.Message.idempotent();
  if (!Retryable)
    return false;
  if (Budget.tryWithdraw()) {
    Stats.count("retries");
    return true;
  }
  Stats.count("retries_refused_by_budget");
  return false;
}

wire::ExecuteReply Router::routeToAny(RouteRequest &Request) {
  SlotRequest Wanted{Request.Message.service(),
                     Request.Message.workspace(),
                     {},
                     Request.Deadline};
  wire::ExecuteReply Reply;
  for (int Tries = 0; Tries < MaxAttempts; ++Tries) {
    const auto Agent = Pool.acquire(Wanted);
    if (!Agent)
      return Tries == 0 ? replyOf(Agent.error()) : Reply;
    Reply = deliverCounted(*Agent, Request);
    if (codeOf(Reply) == ResultCode::Ok || !mayRetry(Reply, Request))
      return Reply;
    Wanted.Excluded.insert(Agent->LastHeartbeat.node());
  }
  return Reply;
}

wire::ExecuteReply Router::routeClaimed(RouteRequest &Request) {
  const std::string &Workspace = Request.Message.workspace();
  const std::string &Key = Request.Message.request_id();
  SlotRequest Wanted{
      Request.Message.service(), Workspace, {}, Request.Deadline};
  auto Current = Claims.find(Workspace, Key);
  if (!Current)
    return replyWithoutClaim(Current.error());
  const bool IsRepeated = Current->has_value();
  std::int64_t Revision = 0;
  wire::ExecuteReply Reply;
  for (int Tries = 0; Tries < MaxAttempts; ++Tries) {
    if (*Current) {
      Reply = routePinned(Request, (*Current)->Claim);
      Revision = (*Current)->Revision;
      MemberRecord Holder;
      // Another agent may claim the key only after the present holder has
      // confirmed that it will never run the request.
      if (!didNotRun(Reply) || !isMinionSpecific(codeOf(Reply)) ||
          !Membership.find(NodeId((*Current)->Claim.node()), Holder) ||
          !withdraw(Holder, Request) || !mayRetry(Reply, Request))
        return IsRepeated ? replyToRepeated(Reply) : Reply;
      Wanted.Excluded.insert(Holder.LastHeartbeat.node());
    }
    // The slot is acquired only to choose the agent; routePinned takes its own.
    const auto Agent = Pool.acquire(Wanted);
    if (!Agent)
      return Tries == 0 || Reply.code() == 0 ? replyOf(Agent.error()) : Reply;
    const auto Claimed = Claims.claim(Workspace, Key, *Agent, Revision);
    Pool.release(Agent->LastHeartbeat.node(), Workspace,
                 DeliveryResult::Refused, Milliseconds(0), -1);
    if (!Claimed)
      return replyWithoutClaim(Claimed.error());
    *Current = *Claimed;
  }
  return Reply;
}

/// Waits until the agent is known: an entry that has just started has not
/// received a heartbeat of every agent yet.
bool Router::waitForAgent(const RouteRequest &Request, const std::string &Node,
                          MemberRecord &Found) const {
  const Instant WaitDeadline =
      std::min(Request.Deadline, monotonicNow() + AgentWaitTimeout);
  while (!Membership.find(NodeId(Node), Found)) {
    if (monotonicNow() >= WaitDeadline)
      return false;
    std::this_thread::sleep_for(PollPause);
  }
  return true;
}

wire::ExecuteReply Router::routePinned(RouteRequest &Request,
                                       const wire::RequestClaim &Pin) {
  MemberRecord Agent;
  if (!waitForAgent(Request, Pin.node(), Agent))
    return replyOf({ResultCode::AgentLost,
                    "The agent " + Pin.node() + " is unknown to this entry."});
  Request.Message.set_pinned_incarnation(Pin.incarnation());
  Request.Message.set_pinned_period(Pin.period());
  Pool.occupySlot(Agent.LastHeartbeat.node(), Request.Message.workspace());
  return deliverCounted(Agent, Request);
}

wire::ExecuteReply Router::deliverCounted(const MemberRecord &Agent,
                                          RouteRequest &Request) {
  const Instant StartedAt = monotonicNow();
  wire::ExecuteReply Reply = deliver(Agent, Request);
  const bool LoadReported = Reply.slots() > 0;
  Pool.release(Agent.LastHeartbeat.node(), Request.Message.workspace(),
               deliveryResultOf(Reply), monotonicNow() - StartedAt,
               LoadReported ? static_cast<int>(Reply.in_flight()) : -1);
  return Reply;
}

wire::ExecuteReply Router::deliver(const MemberRecord &Agent,
                                   RouteRequest &Request) {
  const Milliseconds TimeLeft = remaining(Request);
  if (TimeLeft.count() == 0)
    return replyOf({ResultCode::DeadlineBeforeStart,
                    "The deadline passed before the request was sent."});
  Request.Message.set_deadline_ms(static_cast<std::uint32_t>(TimeLeft.count()));
  Stats.count("deliveries");
  const auto Reply = Peers.execute(Agent.LastHeartbeat.rpc_address(),
                                   Request.Message, TimeLeft + AnswerGrace);
  if (Reply)
    return *Reply;
  if (Reply.error().Code == ResultCode::PeerNotConnected)
    return replyOf(Reply.error());
  return queryOutcome(Agent, Request);
}

/// Queries the outcome of a request whose connection broke while it was in
/// flight. The agent, asked by request id on a new connection, returns the
/// outcome or withdraws the request, so that it does not run later.
wire::ExecuteReply Router::queryOutcome(const MemberRecord &Agent,
                                        RouteRequest &Request) {
  Stats.count("outcomes_asked");
  wire::ExecuteRequest Query = Request.Message;
  Query.clear_body();
  Query.set_ask_only(true);
  if (Query.pinned_incarnation() == 0) {
    Query.set_pinned_incarnation(Agent.LastHeartbeat.incarnation());
    Query.set_pinned_period(Agent.LastHeartbeat.minion().outcome_period());
  }
  const Instant WaitDeadline = Request.Deadline + OutcomeQueryGrace;
  Peers.forget(Agent.LastHeartbeat.rpc_address());
  while (monotonicNow() < WaitDeadline) {
    const Milliseconds Timeout =
        std::min(OutcomeQueryTimeout, WaitDeadline - monotonicNow());
    Query.set_deadline_ms(static_cast<std::uint32_t>(
        std::max(Timeout - AnswerGrace, Milliseconds(1)).count()));
    const auto Answer =
        Peers.execute(Agent.LastHeartbeat.rpc_address(), Query, Timeout);
    if (Answer && codeOf(*Answer) != ResultCode::DeadlineAfterStart)
      return *Answer;
    if (!Answer)
      Peers.forget(Agent.LastHeartbeat.rpc_address());
    MemberRecord Current;
    const bool Replaced =
        Membership.find(NodeId(Agent.LastHeartbeat.node()), Current) &&
        Current.LastHeartbeat.incarnation() !=
            Agent.LastHeartbeat.incarnation();
    const bool HeartbeatStale = monotonicNow() - Current.LastHeartbeatAt >
                                Milliseconds(Options.MinionSilenceMs);
    if (!Answer && (Replaced || HeartbeatStale))
      break;
    std::this_thread::sleep_for(PollPause);
  }
  return replyOf({ResultCode::AgentLost,
                  "The agent was lost while the request was in flight."});
}

/// Withdraws the request from the agent. Returns whether the agent has
/// confirmed that it will not run the request.
bool Router::withdraw(const MemberRecord &Agent, RouteRequest &Request) {
  wire::ExecuteRequest Query = Request.Message;
  Query.clear_body();
  Query.set_ask_only(true);
  Query.set_deadline_ms(
      static_cast<std::uint32_t>(OutcomeQueryTimeout.count()));
  const auto Answer = Peers.execute(Agent.LastHeartbeat.rpc_address(), Query,
                                    OutcomeQueryTimeout + AnswerGrace);
  return Answer && codeOf(*Answer) == ResultCode::Withdrawn;
}

} // namespace baobabcove
