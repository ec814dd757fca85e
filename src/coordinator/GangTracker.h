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

/// State of a gang that was ordered to start and whose end is not yet stored.
struct TrackedGang {
  JobId Job;
  Attempt Number;
  std::vector<wire::GangMember> Members;
  /// The last reported part of each member, in the order of Members; its phase
  /// is unspecified before the first report.
  std::vector<wire::GangPart> Parts;
  /// A part that is missing from a report counts as lost only from this time
  /// on.
  Instant AbsenceCountsFrom;
  /// Run time saved by the checkpoint that this attempt started from.
  Milliseconds CheckpointedProgress{0};
  bool Started = false;
  bool StopSent = false;
  Instant RetryStopAt;
  /// When a member was first reported to have ended with neither success nor a
  /// checkpoint. From then on the lead agent stops the other members, or their
  /// leases expire.
  std::optional<Instant> BrokenSince;
  bool Ended = false;
  GangEnd End;
};

/// Change of a gang's state that its owner must handle after a report.
enum class GangTransition { None, AllRunning, Broken, Ended };

/// Tracks the state of gangs by the parts that agents report. Does no input or
/// output.
class GangTracker {
public:
  using Key = std::pair<JobId, std::uint64_t>;

  void add(TrackedGang Gang);
  TrackedGang *find(const JobId &Job, Attempt Number);
  void erase(const JobId &Job, Attempt Number);
  const std::map<Key, TrackedGang> &all() const { return Gangs; }

  /// Returns the gangs that have a member on \p Node and have not ended.
  std::vector<TrackedGang *> gangsOn(const std::string &Node);

  /// Updates \p Gang from the report of a worker.
  GangTransition handleReport(TrackedGang &Gang, const wire::Heartbeat &Report,
                              Instant Now);

  /// Marks the members on \p Node as lost, as the worker has certainly stopped.
  GangTransition markMemberLost(TrackedGang &Gang, const std::string &Node);

  /// Marks the members for which \p IsUnreachable holds as lost once the gang
  /// has been broken for longer than \p Delay. The delay must cover the time
  /// until the lead agent notices and the leases of the other members expire.
  GangTransition markUnreachableMembersLost(
      TrackedGang &Gang, Instant Now, Milliseconds Delay,
      const std::function<bool(const NodeId &)> &IsUnreachable);

  /// Returns the parts in a report that belong to no tracked gang.
  std::vector<wire::GangPart> strayParts(const wire::Heartbeat &Report) const;

private:
  static void updatePart(TrackedGang &Gang, std::size_t Member,
                         const wire::Heartbeat &Report, Instant Now);
  static GangTransition evaluate(TrackedGang &Gang);
  static void setEnd(TrackedGang &Gang);

  std::map<Key, TrackedGang> Gangs;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_GANGTRACKER_H
