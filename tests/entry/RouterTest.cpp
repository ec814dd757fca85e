#include "entry/Router.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

/// A store that holds at most one claim and refuses all writes.
class ClaimsOnlyStore : public Store {
public:
  bool Available = true;
  StoreEntry Claim;

  Expected<StoreEntry> read(const std::string &) override {
    if (!Available)
      return unavailable();
    return Claim;
  }
  Expected<StoreSnapshot> list(const std::string &) override {
    return unavailable();
  }
  Expected<std::int64_t> swap(const std::string &, std::int64_t,
                              const std::string &, std::int64_t) override {
    return unavailable();
  }
  Expected<void> remove(const std::string &, std::int64_t) override {
    return unavailable();
  }
  Expected<std::int64_t> grantLease(std::chrono::seconds) override {
    return unavailable();
  }
  Expected<void> renewLease(std::int64_t) override { return unavailable(); }
  Expected<void> revokeLease(std::int64_t) override { return unavailable(); }
  Expected<void> watch(const std::string &, std::int64_t,
                       const StoreWatchCallback &,
                       const std::atomic<bool> &) override {
    return unavailable();
  }

private:
  static tl::unexpected<Error> unavailable() {
    return failure(ResultCode::StoreUnavailable, "The store is down.");
  }
};

} // namespace

TEST_GROUP(Router) {
  Settings Options;
  MemberTable Membership;
  RpcPeers Peers;
  ClaimsOnlyStore Kept;
  ClaimStore Claims{Kept, std::chrono::seconds(60)};
  Metrics Stats;
  Router Routes{Options, Membership, Peers, Claims, Stats};

  /// Adds an agent that no connection reaches.
  MemberRecord addAgent() {
    wire::Heartbeat Heartbeat;
    Heartbeat.set_node("agent-1");
    Heartbeat.set_kind(wire::MINION);
    Heartbeat.set_incarnation(1);
    Heartbeat.set_rpc_address("127.0.0.1:1");
    Heartbeat.mutable_minion()->set_service("s");
    Heartbeat.mutable_minion()->set_slots(4);
    Membership.update(Heartbeat, monotonicNow());
    MemberRecord Record;
    CHECK_TRUE(Membership.find(NodeId("agent-1"), Record));
    return Record;
  }

  Outcome send(const std::string &Key, int DeadlineMs = 1000) {
    RouteRequest Request;
    Request.Message.set_workspace("team");
    Request.Message.set_service("s");
    Request.Message.set_request_id(Key);
    Request.Deadline = monotonicNow() + Milliseconds(DeadlineMs);
    Request.Keyed = true;
    const wire::ExecuteReply Reply = Routes.route(Request);
    return resultInfo(static_cast<ResultCode>(Reply.code())).RunOutcome;
  }
};

// Guards against "not run" for a repeated request that has run, because the
// claim of its key cannot be read.
TEST(Router, KnowsNothingOfAKeyWhileTheStoreIsUnavailable) {
  addAgent();
  Kept.Available = false;
  CHECK(Outcome::Unknown == send("key"));
}

// Guards against "not run" where another entry may have claimed the key in the
// meantime.
TEST(Router, KnowsNothingOfAKeyThatCannotBeClaimed) {
  addAgent();
  CHECK(Outcome::Unknown == send("key"));
}

// Guards against "not run" for a repeated request because this entry does not
// reach the agent that may have run it, in time or at all.
TEST(Router, KnowsNothingOfAClaimedKeyWhoseAgentIsNotReached) {
  Kept.Claim.Value = claimOf(addAgent()).SerializeAsString();
  Kept.Claim.Revision = 7;
  CHECK(Outcome::Unknown == send("key"));
  CHECK(Outcome::Unknown == send("key", 0));
}

TEST(Router, KnowsNothingOfATicketWhoseAgentIsNotReached) {
  CHECK(Outcome::Unknown == send(ClaimStore::makeTicket(addAgent())));
}
