/// \file
/// The parts of gangs that one worker holds, and the rules by which they move
/// from reservation to end. No input or output; its owner does that.

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

/// One part of a gang on this worker.
struct PartRecord {
  JobId Job;
  Attempt Number;
  Epoch By;
  wire::GangPhase Phase = wire::RESERVED;
  wire::ReserveRequest Need;
  wire::StartRequest Start;
  /// The reservation, arming or lease holds until then.
  Instant Until;
  Milliseconds Progress{0};
  /// What each task was last measured to use.
  std::uint64_t MemoryMbPerTask = 0;
  bool MayHaveRun = false;
  /// Whether this worker leads the gang.
  bool Leads = false;
  /// When the present phase began.
  Instant ChangedAt;
  bool Checkpointed = false;
  /// A stop of the running tasks is under way and will tell how it ended.
  bool StopUnderWay = false;
  /// A coordinator has asked for its stop; the lead spares the other members
  /// until then, so that they can finish their checkpoints.
  Instant ClosingUntil;

  /// The name of this part's tasks at the worker.
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

/// The table of parts. Not thread-safe: its owner locks.
class PartTable {
public:
  PartTable(WorkerSize Size, Milliseconds Lease, const StateChart &Chart)
      : Size(Size), Lease(Lease), Chart(Chart) {}

  /// Notes a coordinator's epoch. Fails with StaleEpoch when a newer one has
  /// been heard.
  Expected<void> admit(Epoch By);
  Epoch highestEpoch() const { return Highest; }
  /// Learns of a newer epoch from elsewhere.
  void raiseEpoch(Epoch Heard);

  /// Holds capacity for a part. A repeat is accepted. Fails with StaleEpoch
  /// or NoCapacity.
  Expected<void> reserve(const wire::ReserveRequest &Request, Instant Now);

  /// Arms a reserved part: it runs once its gang's lead says so. Fails with
  /// StaleEpoch or UnknownGang.
  Expected<void> arm(const wire::StartRequest &Request, const NodeId &Self,
                     Instant Now);

  /// Extends the lease of an armed or running part. Fails with UnknownGang
  /// when there is none, or its lease has lapsed. No lease is extended beyond
  /// \p Horizon.
  Expected<PartRecord *> renew(const JobId &Job, Attempt Number, Instant Now,
                               Instant Horizon);

  /// The part of an attempt, or null.
  PartRecord *find(const JobId &Job, Attempt Number);

  /// Moves a part by an event of the task chart. Fails with EventNotAllowed
  /// and counts it.
  Expected<void> move(PartRecord &Part, const std::string &Event, Instant Now);

  /// Events that the chart did not allow.
  std::uint64_t refusedEvents() const { return RefusedEvents; }

  /// Drops an ended part whose end has been recorded.
  void forget(const JobId &Job, Attempt Number);

  /// Drops reservations that lapsed and ends parts whose lease lapsed;
  /// returns the names of tasks that the worker must stop.
  std::vector<std::string> lapse(Instant Now);

  /// Takes the worker's report into account. Tasks that the worker does not
  /// know any more are lost. Returns whether a phase has changed.
  bool observe(const platform::WorkerReport &Report, Instant Now);

  std::vector<PartRecord *> all();
  std::vector<wire::GangPart> wireParts() const;

private:
  using Key = std::pair<JobId, std::uint64_t>;

  bool fits(const wire::ReserveRequest &Request) const;
  void dropOldest();

  const WorkerSize Size;
  const Milliseconds Lease;
  const StateChart &Chart;
  std::uint64_t RefusedEvents = 0;
  Epoch Highest;
  std::map<Key, PartRecord> Parts;
};

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_PARTTABLE_H
