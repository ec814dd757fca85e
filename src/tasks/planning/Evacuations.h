/// \file
/// Which data centres take starts while some are evacuated. Pure decisions.

#ifndef BAOBABCOVE_TASKS_PLANNING_EVACUATIONS_H
#define BAOBABCOVE_TASKS_PLANNING_EVACUATIONS_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabcove {

/// An order of the operators that nothing is started in a data centre.
struct Evacuation {
  /// Store revision of the order.
  std::int64_t Revision = 0;
  /// When this process learned of it.
  BootInstant KnownSince{};
};

/// The evacuations as last read from the store.
struct Evacuations {
  std::map<DataCentreName, Evacuation> Active;
  /// When this process learned that a data centre was restored.
  std::map<DataCentreName, BootInstant> RestoredAt;
  /// All evacuations that were acknowledged before this time are in Active,
  /// unless they have ended.
  BootInstant ConfirmedAt{};
};

/// Decides from one reading of the evacuations which data centres take starts.
class StartRules {
public:
  /// Nothing is evacuated, and starts are not limited in time.
  StartRules() = default;
  /// No start is carried out later than \p Bound after the acknowledgement of
  /// an evacuation. With a bound of zero starts are not limited in time, and an
  /// evacuation takes effect when it becomes known.
  StartRules(Evacuations Known, Milliseconds Bound);

  const Evacuations &known() const { return Known; }
  bool isEvacuated(const DataCentreName &Centre) const;
  /// Returns the time from which starts must not be sent to workers of
  /// \p Centre any more, because an evacuation that is not known yet may be due
  /// then. Returns the epoch of the clock for an evacuated data centre, and the
  /// clock's maximum without a bound.
  BootInstant startsUntil(const DataCentreName &Centre) const;
  /// Whether the evacuations were confirmed recently enough for new orders,
  /// which take a while to reach the workers.
  bool isFresh(BootInstant Now) const;
  /// Returns for each worker, whose data centres are in \p Centres, whether it
  /// takes new runs. The workers of a restored data centre do so one after the
  /// other, in the order of \p Centres.
  std::vector<bool> takeStarts(const std::vector<DataCentreName> &Centres,
                               BootInstant Now) const;

private:
  /// Returns how many of \p Workers workers of \p Centre take new runs.
  std::size_t openWorkers(const DataCentreName &Centre, std::size_t Workers,
                          BootInstant Now) const;

  Evacuations Known;
  Milliseconds Bound{0};
};

/// How long a restored data centre takes to accept starts on all its workers,
/// so that they do not all read their images and data at once.
constexpr Milliseconds RestoreRamp{4000};

/// Returns the names of the evacuated data centres, separated by spaces.
std::string namesOf(const Evacuations &Known);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_EVACUATIONS_H
