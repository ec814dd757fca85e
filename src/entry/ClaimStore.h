#ifndef BAOBABCOVE_ENTRY_CLAIMSTORE_H
#define BAOBABCOVE_ENTRY_CLAIMSTORE_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"
#include "membership/MemberTable.h"
#include "store/Store.h"
#include "wire.pb.h"

#include <mutex>
#include <optional>
#include <string>

namespace baobabcove {

/// A claim and its revision in the store.
struct StoredClaim {
  wire::RequestClaim Claim;
  std::int64_t Revision = 0;
};

/// Records which agent may run a request with an idempotency key. A key chosen
/// by the caller is claimed for an agent in the platform's store; a ticket is a
/// key that contains the agent itself and needs no store. Thread-safe.
class ClaimStore {
public:
  ClaimStore(Store &StoreClient, std::chrono::seconds Ttl);

  /// Returns the claim of a key, if there is one. Fails with StoreUnavailable.
  Expected<std::optional<StoredClaim>> find(const std::string &Workspace,
                                            const std::string &Key);

  /// Claims the key for \p Agent, replacing the claim at \p Revision (zero:
  /// none), unless another claim was written first. Returns the claim in force.
  Expected<StoredClaim> claim(const std::string &Workspace,
                              const std::string &Key, const MemberRecord &Agent,
                              std::int64_t Revision);

  /// Creates a ticket for \p Agent.
  static std::string makeTicket(const MemberRecord &Agent);

  /// Parses a ticket; returns nothing when \p Key is not a ticket.
  static std::optional<wire::RequestClaim> parseTicket(const std::string &Key);

private:
  Expected<std::int64_t> currentLease();

  Store &StoreClient;
  const std::chrono::seconds Ttl;
  std::mutex Mutex;
  std::int64_t LeaseId = 0;
  Instant LeaseGrantedAt;
};

/// Returns a claim for the current incarnation of \p Agent.
wire::RequestClaim claimOf(const MemberRecord &Agent);

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_CLAIMSTORE_H
