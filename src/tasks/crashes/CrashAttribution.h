/// \file
/// Which tasks a crash of a worker is blamed on, and when a task is given up.

#ifndef BAOBABCOVE_TASKS_CRASHES_CRASHATTRIBUTION_H
#define BAOBABCOVE_TASKS_CRASHES_CRASHATTRIBUTION_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "tasks.pb.h"

#include <cstdint>
#include <vector>

namespace baobabcove {

/// A run that was listed for at least this long has survived its probation: a
/// task that crashes its worker does so soon after its start.
constexpr Milliseconds Probation{2000};
/// A run that was listed for this long crashes no worker.
constexpr Milliseconds ProvenAfter{10000};

/// How certainly a crash was caused by a unit.
enum class Blame {
  /// Another unit may have caused it.
  Shared,
  /// No other unit can have caused it, but the run may not have started, or it
  /// survived its probation.
  Alone,
  /// The run had started, and no other unit can have caused it.
  Certain,
};

/// The crashes of workers under one unit: a single task or a gang.
class CrashHistory {
public:
  /// Records the crash of a worker on \p Node under run \p Run. Returns false
  /// if a crash was already recorded for this run.
  bool record(Blame Certainty, const NodeId &Node, std::uint64_t Run);
  /// Whether the next crash must be attributable to this unit alone.
  bool isSuspect() const { return Suspect; }
  void clearSuspicion() { Suspect = false; }

  /// Whether the unit crashes its workers beyond doubt. Shared crashes never
  /// suffice, and those of a single node, whose worker may be faulty, only
  /// after two more.
  bool provesUnitDeadly() const;

  /// Whether the next run needs a worker of its own in any case: a crash was
  /// certain, or only certain ones are still missing to give the unit up.
  bool requiresIsolation() const;
  /// Whether this history incriminates its unit more than \p Other does.
  bool outweighs(const CrashHistory &Other) const;

  bool empty() const {
    return CertainNodes.empty() && PossibleNodes.empty() && !Suspect;
  }
  std::size_t crashes() const {
    return CertainNodes.size() + PossibleNodes.size();
  }
  /// Returns the nodes of all crashes, in no particular order.
  std::vector<NodeId> nodes() const;

  wire::CrashRecord toRecord() const;
  static CrashHistory fromRecord(const wire::CrashRecord &Record);

private:
  std::vector<NodeId> CertainNodes;
  std::vector<NodeId> PossibleNodes;
  /// Number of crashes that no other unit can have caused.
  std::uint32_t Alone = 0;
  std::uint64_t Run = 0;
  bool Suspect = false;
};

/// A unit with runs on a worker that has crashed.
struct CrashCandidate {
  /// Identifies the unit for the caller.
  std::size_t Unit = 0;
  /// How long the unit's run was seen alive; zero if it was never listed.
  Milliseconds SeenAlive{0};
  /// Whether the run is known to have started.
  bool HasStarted = false;
};

/// The units that a crash is blamed on.
struct CrashAttribution {
  Blame Certainty = Blame::Shared;
  /// Empty if no run on the worker explains the crash.
  std::vector<std::size_t> Units;
};

/// Attributes a crash to the units that are still in their probation or, if
/// there is none, to those that have not run for long.
CrashAttribution attributeCrash(const std::vector<CrashCandidate> &Candidates);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_CRASHES_CRASHATTRIBUTION_H
