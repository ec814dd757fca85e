/// \file
/// What is known of the gangs under way, from their members' reports. No
/// input or output.

#ifndef BAOBABCOVE_COORDINATOR_GANGTRACKER_H
#define BAOBABCOVE_COORDINATOR_GANGTRACKER_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/Scheduler.h"
#include "wire.pb.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace baobabcove {

/// A gang under way.
struct TrackedGang {
  JobId Job;
  Attempt Number;
  std::vector<wire::GangMember> Members;
  /// The last phase seen of each member; unspecified before the first report.
  std::vector<wire::GangPart> Parts;
  /// A part that is missing from a report counts as gone only after this.
  Instant SettledAt;
  /// Run time that an earlier checkpoint kept.
  Milliseconds Kept{0};
  bool Started = false;
  bool StopSent = false;
  Instant StopAgainAt;
  /// When a member first told that it had ended without success and without a
  /// checkpoint, after which the lead lets go of all others.
  std::optional<Instant> BrokenSince;
  bool Ended = false;
  GangEnd End;
};

/// What the owner is to do about a gang after a report.
enum class GangNews { Nothing, AllRunning, Broken, Ended };

/// Follows gangs by the parts that agents report.
class GangTracker {
public:
  using Key = std::pair<JobId, std::uint64_t>;

  void add(TrackedGang Gang);
  TrackedGang *find(const JobId &Job, Attempt Number);
  void erase(const JobId &Job, Attempt Number);
  const std::map<Key, TrackedGang> &all() const { return Gangs; }

  /// Gangs that have a member on \p Node and have not ended.
  std::vector<TrackedGang *> on(const std::string &Node);

  /// Takes the report of a worker into account for one gang.
  GangNews observe(TrackedGang &Gang, const wire::Heartbeat &Report,
                   Instant Now);

  /// The worker \p Node is surely gone.
  GangNews memberLost(TrackedGang &Gang, const std::string &Node);

  /// Takes the members for which \p IsSilent holds for lost once the gang has
  /// been broken for longer than \p Patience, which must cover the time in
  /// which the lead notices and the leases of the others lapse.
  GangNews releaseSilent(TrackedGang &Gang, Instant Now, Milliseconds Patience,
                         const std::function<bool(const NodeId &)> &IsSilent);

  /// Parts in a report that belong to no gang under way.
  std::vector<wire::GangPart> strays(const wire::Heartbeat &Report) const;

private:
  static void observePart(TrackedGang &Gang, std::size_t Member,
                          const wire::Heartbeat &Report, Instant Now);
  static GangNews judge(TrackedGang &Gang);
  static void settleEnd(TrackedGang &Gang);

  std::map<Key, TrackedGang> Gangs;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_GANGTRACKER_H
