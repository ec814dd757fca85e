/// \file
/// Which agent may run a request that carries an idempotency key.

#ifndef BAOBABCOVE_ENTRY_KEYCLAIMS_H
#define BAOBABCOVE_ENTRY_KEYCLAIMS_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"
#include "membership/Members.h"
#include "store/Store.h"
#include "wire.pb.h"

#include <mutex>
#include <optional>
#include <string>

namespace baobabcove {

/// A claim and the store's revision of it.
struct HeldClaim {
  wire::RequestClaim Claim;
  std::int64_t Revision = 0;
};

/// Claims of keys that callers chose, kept in the platform's store, and
/// tickets, which are keys that name the agent themselves and need no store.
/// Thread-safe.
class KeyClaims {
public:
  KeyClaims(Store &Platform, std::chrono::seconds Ttl);

  /// The claim of a key, if there is one. Fails with StoreUnavailable.
  Expected<std::optional<HeldClaim>> find(const std::string &Workspace,
                                          const std::string &Key);

  /// Gives the key to the agent \p To in place of the claim at \p Revision
  /// (zero: none), unless another claim came first; returns the one in force.
  Expected<HeldClaim> claim(const std::string &Workspace,
                            const std::string &Key, const MemberRecord &To,
                            std::int64_t Revision);

  /// A new ticket for the agent \p To.
  static std::string makeTicket(const MemberRecord &To);

  /// Reads a ticket; nothing when \p Key is not one.
  static std::optional<wire::RequestClaim> readTicket(const std::string &Key);

private:
  Expected<std::int64_t> lease();

  Store &Platform;
  const std::chrono::seconds Ttl;
  std::mutex Mutex;
  std::int64_t Lease = 0;
  Instant LeaseFrom;
};

/// The claim that names one agent's present life.
wire::RequestClaim claimOf(const MemberRecord &To);

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_KEYCLAIMS_H
