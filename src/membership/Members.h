/// \file
/// Who has announced itself, as this process has heard.

#ifndef BAOBABCOVE_MEMBERSHIP_MEMBERS_H
#define BAOBABCOVE_MEMBERSHIP_MEMBERS_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "wire.pb.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace baobabcove {

/// A member and when it was last heard.
struct MemberRecord {
  wire::Heartbeat Beat;
  Instant HeardAt;
};

/// The table of members. An announcement of an older incarnation than the one
/// known is refused, so that a late message of an earlier life does no harm.
/// Thread-safe.
class Members {
public:
  /// Takes an announcement. Returns false when it is of an older incarnation.
  bool hear(const wire::Heartbeat &Beat, Instant Now);

  /// Members of one kind heard within \p Silence before \p Now.
  std::vector<MemberRecord> alive(wire::NodeKind Kind, Milliseconds Silence,
                                  Instant Now) const;

  /// One member, however long it has been silent.
  bool find(const NodeId &Node, MemberRecord &Record) const;

  std::vector<MemberRecord> all() const;

  /// Drops a member that has taken leave.
  void remove(const NodeId &Node);

  /// Drops members silent for longer than \p Silence.
  void forgetSilent(Milliseconds Silence, Instant Now);

private:
  mutable std::mutex Mutex;
  std::map<std::string, MemberRecord> Table;
};

} // namespace baobabcove

#endif // BAOBABCOVE_MEMBERSHIP_MEMBERS_H
