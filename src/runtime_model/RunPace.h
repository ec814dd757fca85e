#ifndef BAOBABCOVE_RUNTIME_MODEL_RUNPACE_H
#define BAOBABCOVE_RUNTIME_MODEL_RUNPACE_H

#include "baobabcove/Clock.h"

#include <cstdint>
#include <optional>

namespace baobabcove {

/// The percent of its work that a run reported over time.
class RunPace {
public:
  RunPace() = default;
  /// \p Resumed tells whether the run started from a checkpoint.
  explicit RunPace(bool Resumed) : Resumed(Resumed) {}

  void note(std::uint32_t Percent, BootInstant At);

  bool isResumed() const { return Resumed; }
  std::uint32_t percent() const { return Percent; }
  /// Returns by how much the percent grew at the measured pace.
  std::uint32_t measuredPercent() const { return Percent - PaceFromPercent; }
  /// Returns the time for one percent. The measurement begins with the first
  /// change, since a run may be listed shortly before or long after a change.
  std::optional<double> msPerPercent() const;

  /// Returns the duration of all of the task's work at this pace, once enough
  /// progress was seen.
  std::optional<Milliseconds> projected() const;
  /// Returns the time left at this pace, once enough progress was seen.
  std::optional<Milliseconds> remaining(BootInstant Now) const;
  /// Returns the duration of all of the task's work, of which the last was done
  /// at \p End. What was done before the first listing is assumed to have had
  /// the same pace. Returns nothing if most of it was done before, or if a
  /// resumed run did not tell how much.
  std::optional<Milliseconds> whole(BootInstant End) const;
  /// Returns when the percent last changed.
  BootInstant changedAt() const { return ChangedAt; }

private:
  bool Resumed = false;
  bool Listed = false;
  bool Changed = false;
  BootInstant ListedAt{};
  BootInstant PaceFrom{};
  BootInstant ChangedAt{};
  std::uint32_t ListedPercent = 0;
  std::uint32_t PaceFromPercent = 0;
  std::uint32_t Percent = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_RUNTIME_MODEL_RUNPACE_H
