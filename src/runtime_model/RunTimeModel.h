#ifndef BAOBABCOVE_RUNTIME_MODEL_RUNTIMEMODEL_H
#define BAOBABCOVE_RUNTIME_MODEL_RUNTIMEMODEL_H

#include "baobabcove/Clock.h"
#include "runtime_model/BoundedTable.h"
#include "runtime_model/DurationHistory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace baobabcove {

/// What tasks with similar durations have in common.
struct TaskKind {
  std::string Queue;
  std::string Image;
  std::string Workspace;
  std::uint32_t Accelerators = 0;
  /// Number of tasks of the step.
  std::uint32_t Width = 1;
};

/// One row of the model, for display.
struct RunTimeRow {
  std::string Name;
  std::uint64_t Samples = 0;
  DurationEstimate Durations;
};

/// Learns the distribution of task durations, at nominal speed and near the
/// data, from finished runs. There are rows by queue, by image within a queue,
/// by workspace and by size; a row with few samples is mixed with the next
/// coarser one. The declared duration counts by how well declared durations
/// have predicted. Not thread-safe.
class RunTimeModel {
public:
  explicit RunTimeModel(std::size_t MaxRows = 1024);

  void add(const TaskKind &Kind, Milliseconds Declared, Milliseconds Ran);

  /// Returns the distribution of the duration of one task. \p Declared is zero
  /// if nothing is declared.
  DurationEstimate estimate(const TaskKind &Kind, Milliseconds Declared) const;

  std::uint64_t samples() const { return Samples; }
  std::vector<RunTimeRow> rows() const;

private:
  BoundedTable<std::string, DurationHistory> Histories;
  std::uint64_t Samples = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_RUNTIME_MODEL_RUNTIMEMODEL_H
