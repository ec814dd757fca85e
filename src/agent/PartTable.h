#ifndef BAOBABCOVE_AGENT_PARTTABLE_H
#define BAOBABCOVE_AGENT_PARTTABLE_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "baobabcove/StateChart.h"
#include "platform.pb.h"
#include "wire.pb.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace baobabcove {

/// One worker's part of one attempt of a gang.
struct PartRecord {
  JobId Job;
  Attempt AttemptNumber;
  Epoch CoordinatorEpoch;
  wire::GangPhase Phase = wire::RESERVED;
  wire::ReserveRequest Reservation;
  wire::StartRequest Start;
  /// Expiry of the reservation (RESERVED) or of the lease (ARMED, RUNNING).
  Instant ExpiresAt;
  Milliseconds Progress{0};
  /// Memory use of each task as last reported by the worker, in MiB.
  std::uint64_t MemoryMbPerTask = 0;
  bool MayHaveRun = false;
  /// Whether this worker's agent is the lead of the gang.
  bool IsLead = false;
  /// Start of the current phase.
  Instant ChangedAt;
  bool Checkpointed = false;
  /// A stop of the running tasks is in progress and will set the final phase.
  bool StopInProgress = false;
  /// Set when a coordinator requests a stop: until then the lead does not stop
  /// the other members, so that they can finish their checkpoints.
  Instant StopGraceUntil;

  /// Returns the id under which the worker runs this part's tasks.
  std::string taskName() const;
  bool ended() const;
  wire::GangPart toWire() const;
};

/// Capacity of the worker.
struct WorkerSize {
  std::uint32_t Accelerators = 0;
  std::uint32_t Cores = 0;
  std::uint64_t MemoryMb = 0;
};

/// The gang parts held by one worker and the rules for their transitions from
/// reservation to end. Performs no I/O. Not thread-safe: the owner locks.
class PartTable {
public:
  PartTable(WorkerSize Size, Milliseconds Lease, const StateChart &Chart)
      : Size(Size), Lease(Lease), Chart(Chart) {}

  /// Records the epoch of a coordinator's command. Fails with StaleEpoch when
  /// a newer epoch is known.
  Expected<void> checkEpoch(Epoch CoordinatorEpoch);
  Epoch highestEpoch() const { return HighestSeen; }
  /// Raises the highest known epoch to one learned from a heartbeat reply.
  void observeEpoch(Epoch Observed);

  /// Reserves capacity for a part. A repeated request succeeds. Fails with
  /// StaleEpoch or NoCapacity.
  Expected<void> reserve(const wire::ReserveRequest &Request, Instant Now);

  /// Arms a reserved part, which then runs once the gang's lead tells it to.
  /// Fails with StaleEpoch or UnknownGang.
  Expected<void> arm(const wire::StartRequest &Request, const NodeId &Self,
                     Instant Now);

  /// Extends the lease of an armed or running part, at most to
  /// \p LatestExpiry. Fails with UnknownGang when there is no such part or its
  /// lease has expired.
  Expected<PartRecord *> renew(const JobId &Job, Attempt AttemptNumber,
                               Instant Now, Instant LatestExpiry);

  /// Returns the part of an attempt, or null.
  PartRecord *find(const JobId &Job, Attempt AttemptNumber);

  /// Applies an event of the task state chart to a part. When the chart does
  /// not allow the event, counts it and fails with EventNotAllowed.
  Expected<void> transition(PartRecord &Part, const std::string &Event,
                            Instant Now);

  /// Returns the number of events that the chart did not allow.
  std::uint64_t refusedEvents() const { return RefusedEvents; }

  /// Removes an ended part whose end has been recorded.
  void forget(const JobId &Job, Attempt AttemptNumber);

  /// Removes reserved and armed parts that have expired and marks running
  /// parts with an expired lease as lost. Returns the ids of the tasks that the
  /// worker must stop.
  std::vector<std::string> expireLeases(Instant Now);

  /// Updates the running parts from the worker's report. Parts whose tasks the
  /// worker does not report are lost. Returns whether a phase has changed.
  bool applyReport(const platform::WorkerReport &Report, Instant Now);

  std::vector<PartRecord *> all();
  std::vector<wire::GangPart> wireParts() const;

private:
  using Key = std::pair<JobId, std::uint64_t>;

  bool fits(const wire::ReserveRequest &Request) const;
  void dropOldestEnded();

  const WorkerSize Size;
  const Milliseconds Lease;
  const StateChart &Chart;
  std::uint64_t RefusedEvents = 0;
  Epoch HighestSeen;
  std::map<Key, PartRecord> Parts;
};

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_PARTTABLE_H
