#ifndef BAOBABCOVE_TASKS_INTAKE_JOBINTAKE_H
#define BAOBABCOVE_TASKS_INTAKE_JOBINTAKE_H

#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "store/TransactionalStore.h"
#include "tasks/intake/JobCatalog.h"

namespace baobabcove {

/// Accepts and cancels jobs for clients and reports their status. Thread-safe.
/// Every call fails with StoreUnavailable if it is certain to have had no
/// effect, and with StoreAnswerLost if its outcome is unknown.
class JobIntake {
public:
  /// Both references must outlive this object.
  JobIntake(TransactionalStore &Kv, JobCatalog &Catalog)
      : Kv(Kv), Catalog(Catalog) {}

  /// Stores \p Spec. Idempotent: a job is run once however often it is
  /// submitted, and the call succeeds for a job that was accepted before.
  Expected<void> accept(const wire::TaskJobSpec &Spec);

  /// Cancels a job. Succeeds for a job that has already ended; fails with
  /// UnknownJob.
  Expected<void> cancel(const JobId &Id);

  /// Returns the status of a job. Fails with UnknownJob if the store does not
  /// hold it either.
  Expected<JobStatus> status(const JobId &Id);

  /// Returns how long the store has been unreachable.
  Milliseconds storeUnavailableFor() const {
    return Kv.health().outageDuration(BootClock::now());
  }

private:
  Expected<CatalogEntry> find(const JobId &Id);
  Expected<CatalogEntry> readFromStore(const JobId &Id);

  TransactionalStore &Kv;
  JobCatalog &Catalog;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_INTAKE_JOBINTAKE_H
