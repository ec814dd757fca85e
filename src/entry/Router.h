/// \file
/// Brings requests to minions and their answers back, honestly.

#ifndef BAOBABCOVE_ENTRY_ROUTER_H
#define BAOBABCOVE_ENTRY_ROUTER_H

#include "base/Metrics.h"
#include "config/Settings.h"
#include "entry/KeyClaims.h"
#include "entry/MinionPool.h"
#include "entry/RetryBudget.h"
#include "rpc/Rpc.h"

namespace baobabcove {

/// A caller's request on its way.
struct RouteRequest {
  wire::ExecuteRequest Message;
  Instant Deadline;
  /// Whether the caller chose the request id, so that it may come again.
  bool Keyed = false;
};

/// Routes requests. An answer, a proof that the request did not run, or
/// "unknown": a request that is not idempotent is sent on only after the agent
/// has said that it did not run and will not.
class Router {
public:
  Router(const Settings &Of, const Members &Known, RpcPeers &Peers,
         KeyClaims &Claims, Metrics &Figures);

  /// Carries the request to its end within its deadline.
  wire::ExecuteReply route(RouteRequest Request);

  MinionPool &pool() { return Pool; }
  const MinionPool &pool() const { return Pool; }

private:
  wire::ExecuteReply routeFree(RouteRequest &Request);
  wire::ExecuteReply routeClaimed(RouteRequest &Request);
  wire::ExecuteReply routePinned(RouteRequest &Request,
                                 const wire::RequestClaim &Pin);
  wire::ExecuteReply deliver(const MemberRecord &To, RouteRequest &Request);
  wire::ExecuteReply askOutcome(const MemberRecord &To, RouteRequest &Request);
  wire::ExecuteReply deliverCounted(const MemberRecord &To,
                                    RouteRequest &Request);
  bool waitForAgent(const RouteRequest &Request, const std::string &Node,
                    MemberRecord &Found) const;
  bool bar(const MemberRecord &At, RouteRequest &Request);
  bool mayTryElsewhere(const wire::ExecuteReply &Reply,
                       const RouteRequest &Request);

  const Settings &Of;
  const Members &Known;
  RpcPeers &Peers;
  KeyClaims &Claims;
  Metrics &Figures;
  MinionPool Pool;
  RetryBudget Budget;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_ROUTER_H
