/// \file
/// What an agent hears from the worker beside it, and what it may ask of it.

#ifndef BAOBABCOVE_TASKS_WORKERLINK_H
#define BAOBABCOVE_TASKS_WORKERLINK_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "tasks.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace baobabcove {

/// One announcement of a worker.
struct WorkerBeat {
  std::string Id;
  /// Unix time at which this life of the worker began, in milliseconds.
  std::int64_t BornMs = 0;
  /// Rises with each beat of one life.
  std::int64_t Sequence = 0;
  ServiceName Service;
  /// Where the worker takes calls, "ip:port".
  std::string Address;
  DataCentreName DataCentre;
  bool Draining = false;
  /// Least time that a draining worker has left.
  Milliseconds Remaining{0};
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;
  /// All that a step may require, the rack among them.
  std::vector<std::string> Labels;
  RackName Rack;
};

/// What a worker runs and what has ended there since the acknowledged end.
struct WorkerRuns {
  std::int64_t BornMs = 0;
  /// The worker's clock when it answered.
  Milliseconds Clock{0};
  std::vector<wire::RunStatus> Running;
  std::vector<wire::RunEnd> Ends;
};

/// A start as the worker takes it.
struct WorkerStart {
  std::string Task;
  std::uint64_t Run = 0;
  std::string Payload;
  std::string Checkpoint;
};

/// What became of a call to a worker.
enum class CallOutcome {
  /// The worker did it.
  Done,
  /// The worker refused and did nothing.
  Refused,
  /// No answer: it may have been done, or may be done later.
  Unknown,
};

/// The answer to a start or a stop.
struct OrderAnswer {
  CallOutcome Outcome = CallOutcome::Unknown;
  wire::RefusalReason Reason = wire::REFUSAL_REASON_UNSPECIFIED;
  /// Why, for the log.
  std::string Detail;
};

/// Calls to one life of a worker. Thread-safe.
class WorkerLink {
public:
  virtual ~WorkerLink() = default;

  /// Starts a run, which the worker refuses when its clock has passed
  /// \p Deadline or when it has seen an epoch above \p Term.
  virtual OrderAnswer start(const WorkerStart &Order, Milliseconds Deadline,
                            Epoch Term) = 0;

  /// Stops a run. A run that is not there can no longer start there.
  virtual OrderAnswer stop(const wire::RunKey &Run, Epoch Term) = 0;

  /// Extends the lease of all that runs to \p Deadline on the worker's clock
  /// (zero: not), lets go of ends up to \p Acknowledged, and lists the rest.
  /// Waits at most \p Wait for a new end.
  virtual Expected<WorkerRuns> hold(Milliseconds Deadline,
                                    std::uint64_t Acknowledged,
                                    Milliseconds Wait, Epoch Term) = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_WORKERLINK_H
