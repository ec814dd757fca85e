#ifndef BAOBABCOVE_TASKS_COORDINATION_TOMBSTONESWEEPER_H
#define BAOBABCOVE_TASKS_COORDINATION_TOMBSTONESWEEPER_H

#include "store/TransactionalStore.h"
#include "tasks/coordination/CoordinatorRole.h"
#include "tasks/coordination/JobTracker.h"

#include <string>
#include <vector>

namespace baobabcove {

/// Removes the tombstones of cancelled jobs that the store never held, once no
/// write of such a job can still arrive. Not thread-safe.
class TombstoneSweeper {
public:
  /// Tombstones are kept for \p Retention. \p Kv must outlive this object.
  TombstoneSweeper(TransactionalStore &Kv, Milliseconds Retention)
      : Kv(Kv), Retention(Retention) {}

  /// Lists the tombstones once in a while, and removes some that have expired,
  /// with one transaction at most.
  void sweep(const CoordinatorTerm &Term, const ClockReading &Now);

private:
  void findExpired(const ClockReading &Now);

  TransactionalStore &Kv;
  const Milliseconds Retention;
  BootInstant ListedAt{};
  std::vector<std::string> Expired;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_TOMBSTONESWEEPER_H
