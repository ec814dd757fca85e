/// \file
/// Accepts, cancels and shows jobs on behalf of callers.

#ifndef BAOBABCOVE_TASKS_JOBINTAKE_H
#define BAOBABCOVE_TASKS_JOBINTAKE_H

#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "store/TransactionalStore.h"
#include "tasks/JobCatalog.h"

namespace baobabcove {

/// Thread-safe. Every call fails with StoreUnavailable when it surely had no
/// effect, and with StoreAnswerLost when it may have had one.
class JobIntake {
public:
  /// Both must outlive the intake.
  JobIntake(TransactionalStore &Kv, JobCatalog &Catalog)
      : Kv(Kv), Catalog(Catalog) {}

  /// Stores \p Spec, so that it will be run once however often it is handed
  /// in. Succeeds for a job that was accepted before.
  Expected<void> accept(const wire::TaskJobSpec &Spec);

  /// Cancels a job; succeeds for one that has ended. Fails with UnknownJob.
  Expected<void> cancel(const JobId &Id);

  /// Fails with UnknownJob for one that the store does not hold either.
  Expected<JobStatus> status(const JobId &Id);

  /// How long the store has not answered.
  Milliseconds storeAwayFor() const {
    return Kv.health().awayFor(BootClock::now());
  }

private:
  Expected<CatalogEntry> find(const JobId &Id);
  Expected<CatalogEntry> readBack(const JobId &Id);

  TransactionalStore &Kv;
  JobCatalog &Catalog;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_JOBINTAKE_H
