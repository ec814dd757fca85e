/// \file
/// The interface between an agent and its worker.

#ifndef BAOBABCOVE_TASKS_AGENT_WORKERLINK_H
#define BAOBABCOVE_TASKS_AGENT_WORKERLINK_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "tasks.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace baobabcove {

/// A heartbeat of a worker.
struct WorkerHeartbeat {
  std::string Id;
  /// Unix time in milliseconds at which this incarnation of the worker started.
  std::int64_t StartedAtMs = 0;
  /// Increases with each heartbeat of an incarnation.
  std::int64_t Sequence = 0;
  ServiceName Service;
  /// Address for calls to the worker, "ip:port".
  std::string Address;
  DataCentreName DataCentre;
  bool Draining = false;
  /// Minimum time until a draining worker terminates.
  Milliseconds Remaining{0};
  /// How long the worker will still be cold.
  Milliseconds ColdRemaining{0};
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;
  /// All labels that a step may require, including the rack.
  std::vector<std::string> Labels;
  RackName Rack;
};

/// A worker lists this many ends at a time, the earliest first.
constexpr std::size_t MaxListedEnds = 500;

/// Runs of a worker, and the ends that have not been acknowledged.
struct WorkerRuns {
  std::int64_t StartedAtMs = 0;
  /// The worker's clock at the time of the answer.
  Milliseconds Clock{0};
  std::vector<wire::RunStatus> Running;
  std::vector<wire::RunEnd> Ends;
};

/// A start order for a worker.
struct WorkerStart {
  std::string Task;
  std::uint64_t Run = 0;
  std::string Payload;
  std::string Checkpoint;
};

/// Result of a call to a worker.
enum class CallOutcome {
  /// The worker carried out the order.
  Done,
  /// The worker refused the order and did nothing.
  Refused,
  /// Unknown outcome: without an answer the order may have been carried out, or
  /// may still be.
  Unknown,
};

/// The answer to a start or a stop.
struct OrderAnswer {
  CallOutcome Outcome = CallOutcome::Unknown;
  wire::RefusalReason Reason = wire::REFUSAL_REASON_UNSPECIFIED;
  /// Reason of a failure, for the log.
  std::string Detail;
};

/// Calls to one incarnation of a worker. Thread-safe.
///
/// No call reaches another incarnation, also not one under the same id: what a
/// call says of ends, leases and the worker's clock holds for one of them. Only
/// a call that was under way when the worker started again may be carried out
/// by the next one, if the worker's platform allows that.
class WorkerLink {
public:
  virtual ~WorkerLink() = default;

  /// Starts a run. The worker refuses if its clock has passed \p Deadline or if
  /// it has seen an epoch above \p Term.
  virtual OrderAnswer start(const WorkerStart &Order, Milliseconds Deadline,
                            Epoch Term) = 0;

  /// Stops a run. A run that does not exist can no longer start on this worker.
  virtual OrderAnswer stop(const wire::RunKey &Run, Epoch Term) = 0;

  /// Extends the lease of all runs to \p Deadline on the worker's clock (zero:
  /// no extension), discards ends up to \p Acknowledged and lists the rest.
  /// Waits for at most \p Wait for a new end. Fails with WorkerReplaced if the
  /// process at the worker's address is not this worker. If it is another
  /// incarnation under the worker's id, lists its runs, and does no more.
  virtual Expected<WorkerRuns> renewAndList(Milliseconds Deadline,
                                            std::uint64_t Acknowledged,
                                            Milliseconds Wait, Epoch Term) = 0;

  /// Returns false if the worker's host refuses connections to the worker's
  /// address, where no process listens then; true in any other case, also when
  /// there is no answer.
  virtual bool isListening() = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_WORKERLINK_H
