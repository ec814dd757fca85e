#ifndef BAOBABCOVE_MEMBERSHIP_MEMBERTABLE_H
#define BAOBABCOVE_MEMBERSHIP_MEMBERTABLE_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "wire.pb.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace baobabcove {

/// The last heartbeat of a member.
struct MemberRecord {
  wire::Heartbeat LastHeartbeat;
  /// When this process received the heartbeat.
  Instant LastHeartbeatAt;
};

/// The members whose heartbeats this process has received. A heartbeat of an
/// older incarnation than the known one is refused, so that a delayed message
/// of an earlier incarnation has no effect. Thread-safe.
class MemberTable {
public:
  /// Stores a heartbeat. Returns false if it is of an older incarnation.
  bool update(const wire::Heartbeat &Heartbeat, Instant Now);

  /// Returns the members of one kind whose last heartbeat is at most \p Timeout
  /// old at \p Now.
  std::vector<MemberRecord> alive(wire::NodeKind Kind, Milliseconds Timeout,
                                  Instant Now) const;

  /// Finds a member, however old its last heartbeat is. Returns false if there
  /// is none.
  bool find(const NodeId &Node, MemberRecord &Record) const;

  std::vector<MemberRecord> all() const;

  /// Removes a member that has left.
  void remove(const NodeId &Node);

  /// Removes the members whose last heartbeat is older than \p Timeout.
  void removeStale(Milliseconds Timeout, Instant Now);

private:
  mutable std::mutex Mutex;
  std::map<std::string, MemberRecord> Table;
};

} // namespace baobabcove

#endif // BAOBABCOVE_MEMBERSHIP_MEMBERTABLE_H
