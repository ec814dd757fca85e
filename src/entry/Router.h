#ifndef BAOBABCOVE_ENTRY_ROUTER_H
#define BAOBABCOVE_ENTRY_ROUTER_H

#include "base/Metrics.h"
#include "config/Settings.h"
#include "entry/ClaimStore.h"
#include "entry/MinionPool.h"
#include "entry/RetryBudget.h"
#include "rpc/Rpc.h"

namespace baobabcove {

/// A caller's request to be routed.
struct RouteRequest {
  wire::ExecuteRequest Message;
  Instant Deadline;
  /// Whether the request id is the caller's idempotency key, so that the
  /// request may be repeated.
  bool Keyed = false;
};

/// Routes requests to minions. The result is an answer, a refusal of a request
/// that did not run, or an unknown outcome. A request that is not idempotent is
/// retried on another minion only when it was never sent, or when the agent has
/// confirmed that it did not run and will not run.
class Router {
public:
  Router(const Settings &Options, const MemberTable &Membership,
         RpcPeers &Peers, ClaimStore &Claims, Metrics &Stats);

  /// Routes the request, with retries, and returns the final reply. Queries an
  /// unknown outcome for a short time after the deadline.
  wire::ExecuteReply route(RouteRequest Request);

  MinionPool &pool() { return Pool; }
  const MinionPool &pool() const { return Pool; }

private:
  wire::ExecuteReply routeToAny(RouteRequest &Request);
  wire::ExecuteReply routeClaimed(RouteRequest &Request);
  wire::ExecuteReply routePinned(RouteRequest &Request,
                                 const wire::RequestClaim &Pin);
  wire::ExecuteReply deliver(const MemberRecord &Agent, RouteRequest &Request);
  wire::ExecuteReply queryOutcome(const MemberRecord &Agent,
                                  RouteRequest &Request);
  wire::ExecuteReply deliverCounted(const MemberRecord &Agent,
                                    RouteRequest &Request);
  bool waitForAgent(const RouteRequest &Request, const std::string &Node,
                    MemberRecord &Found) const;
  bool withdraw(const MemberRecord &Agent, RouteRequest &Request);
  bool mayRetry(const wire::ExecuteReply &Reply, const RouteRequest &Request);

  const Settings &Options;
  const MemberTable &Membership;
  RpcPeers &Peers;
  ClaimStore &Claims;
  Metrics &Stats;
  MinionPool Pool;
  RetryBudget Budget;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_ROUTER_H
