#include "tasks/FailedRuns.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Bounds the record of a long-running task, which fails without limit. An end
/// is heard late by a few runs at most.
constexpr std::size_t MaxNumbers = 8;

} // namespace

bool FailedRuns::record(std::uint64_t Run) {
  const auto At = std::lower_bound(Latest.begin(), Latest.end(), Run);
  if (Run <= IgnoredThrough || (At != Latest.end() && *At == Run))
    return false;
  ++Count;
  Latest.insert(At, Run);
  if (Latest.size() > MaxNumbers) {
    IgnoredThrough = Latest.front();
    Latest.erase(Latest.begin());
  }
  return true;
}

void FailedRuns::store(wire::TaskRecord &Record) const {
  Record.set_failures(Count);
  for (std::uint64_t Run : Latest)
    Record.add_failed_runs(Run);
  Record.set_failed_runs_ignored_through(IgnoredThrough);
}

FailedRuns FailedRuns::fromRecord(const wire::TaskRecord &Record) {
  FailedRuns Restored;
  Restored.Count = Record.failures();
  Restored.Latest.assign(Record.failed_runs().begin(),
                         Record.failed_runs().end());
  Restored.IgnoredThrough = Record.failed_runs_ignored_through();
  return Restored;
}

} // namespace baobabcove
