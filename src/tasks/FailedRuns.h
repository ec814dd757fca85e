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
  bool lacksNumbers() const {
    return Count > 0 && Latest.empty() && IgnoredThrough == 0;
  }
  /// Counts no run up to \p Run any more: such a record does not tell which of
  /// them it contains.
  void ignoreThrough(std::uint64_t Run) { IgnoredThrough = Run; }

  void store(wire::TaskRecord &Record) const;
  static FailedRuns fromRecord(const wire::TaskRecord &Record);

private:
  std::uint32_t Count = 0;
  /// Numbers of the latest of these runs, ascending.
  std::vector<std::uint64_t> Latest;
  /// Runs up to this one are not counted any more.
  std::uint64_t IgnoredThrough = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_FAILEDRUNS_H
