/// \file
/// What an agent has done about each ordered run.

#ifndef BAOBABCOVE_TASKS_RUNLEDGER_H
#define BAOBABCOVE_TASKS_RUNLEDGER_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace baobabcove {

using RunId = std::pair<std::string, std::uint64_t>;

/// Tells for each run which order is to be sent next, and when it is certain
/// that the run will never start. Not thread-safe.
class RunLedger {
public:
  /// Forgets everything: the worker has begun a new life.
  void clear() { Runs.clear(); }

  /// Keeps only the runs that \p Orders names, and returns what is to be sent
  /// for them now: true stands for a stop.
  std::vector<std::pair<RunId, bool>> take(const wire::TaskOrders &Orders,
                                           BootInstant Now);

  /// A start was answered.
  void started(const RunId &Run);
  /// A start was refused: the run will never begin by it.
  void refused(const RunId &Run, wire::RefusalReason Reason);
  /// A start had no answer and the worker does not list the run: it has to be
  /// barred by a stop.
  void doubt(const RunId &Run);
  /// A stop was answered.
  void stopped(const RunId &Run, BootInstant At);
  /// A stop had no answer or was refused; it is to be sent again.
  void stopFailed(const RunId &Run, BootInstant At);
  /// There is no worker any more on which the run could begin.
  void barred(const RunId &Run);

  /// Takes in a listing that was asked for at \p AskedAt: a run that is not in
  /// it although its stop was answered earlier can never begin. Returns
  /// whether anything became certain.
  bool takeListing(const std::set<RunId> &Known, BootInstant AskedAt);

  /// Whether the run of a queued start is still wanted.
  bool wantsStart(const RunId &Run) const;

  /// The runs that have not started and never will.
  std::vector<wire::RunRefusal> refusals() const;

private:
  enum class State { Starting, Started, Stopping, Stopped, Over };
  struct Entry {
    State Is = State::Starting;
    BootInstant At{};
    wire::RefusalReason Reason = wire::REFUSAL_REASON_UNSPECIFIED;
  };
  std::map<RunId, Entry> Runs;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_RUNLEDGER_H
