#ifndef BAOBABCOVE_TASKS_FAILEDRUNS_H
#define BAOBABCOVE_TASKS_FAILEDRUNS_H

#include "tasks.pb.h"

#include <cstdint>
#include <vector>

namespace baobabcove {

/// The failed runs of a unit: a single task or a gang. A run counts once,
/// however many of its members fail, in whichever order its ends are heard and
/// however often they are reported.
class FailedRuns {
public:
  /// Records that \p Run failed. Returns false if it was recorded before.
  bool record(std::uint64_t Run);
  /// Returns the number of runs that failed.
  std::uint32_t count() const { return Count; }

  /// Whether this was restored from a record without the numbers of its runs,
  /// as releases before the field failed_runs wrote it.
  bool lacksNumbers() const { return Count > 0 && Latest.empty(); }
  /// Takes \p Run for the newest run of such a record.
  void assumeLatest(std::uint64_t Run) { Latest = {Run}; }

  void store(wire::TaskRecord &Record) const;
  static FailedRuns fromRecord(const wire::TaskRecord &Record);

private:
  std::uint32_t Count = 0;
  /// Numbers of the latest of these runs, ascending. If there were more, all
  /// runs below the first of them count as recorded.
  std::vector<std::uint64_t> Latest;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_FAILEDRUNS_H
