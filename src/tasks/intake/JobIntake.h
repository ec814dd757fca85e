#ifndef BAOBABCOVE_TASKS_INTAKE_JOBINTAKE_H
#define BAOBABCOVE_TASKS_INTAKE_JOBINTAKE_H

#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"
#include "store/TransactionalStore.h"
#include "tasks/intake/JobAccess.h"
#include "tasks/intake/JobCatalog.h"

namespace baobabcove {

/// Accepts and cancels jobs for clients and reports their status. Thread-safe.
/// Every call fails with StoreUnavailable if it is certain to have had no
/// effect, with StoreAnswerLost if its outcome is unknown, and with
/// WrongWorkspace if the job belongs to another workspace than the caller.
class JobIntake {
public:
  /// Both references must outlive this object.
  JobIntake(TransactionalStore &Kv, JobCatalog &Catalog)
      : Kv(Kv), Catalog(Catalog) {}

  /// Stores \p Spec. Idempotent: a job is run once however often it is
  /// submitted, and the call succeeds for a job that was accepted before. Fails
  /// with MalformedRequest if the job has no tasks, with JobTooLarge if it has
  /// more than MaxTasksPerJob, with UnknownJob if the job was cancelled before
  /// it was stored, and with WorkspaceLimit or Overloaded while too many tasks
  /// are unfinished.
  Expected<void> accept(const wire::TaskJobSpec &Spec);

  /// Cancels a job. Succeeds for a job that has already ended. Fails with
  /// UnknownJob if the store does not hold the job; it will not accept it for
  /// the status retention period then, so that a late write cannot start it.
  Expected<void> cancel(const JobId &Id, const JobCaller &Caller);

  /// Returns the status of a job. Fails with UnknownJob if the store does not
  /// hold it either.
  Expected<JobStatus> status(const JobId &Id, const JobCaller &Caller);

  /// Returns how long the store has been unreachable.
  Milliseconds storeUnavailableFor() const {
    return Kv.health().outageDuration(BootClock::now());
  }

private:
  /// Fails with WorkspaceLimit or Overloaded if a coordinator could not hold
  /// the job beside the unfinished ones. Other entries may accept jobs at the
  /// same time, so that the limits can be exceeded by a few jobs.
  Expected<void> checkRoom(const wire::TaskJobSpec &Spec) const;
  Expected<CatalogEntry> find(const JobId &Id);
  /// Returns the outcome of a submission whose write was not carried out
  /// because of \p Current.
  Expected<void> resolveConflict(const wire::TaskJobSpec &Spec,
                                 const CommitResult &Current);
  Expected<void> cancelStored(const JobId &Id, const CatalogEntry &Found);
  /// Leaves a tombstone for a job that the store does not hold. Fails with
  /// UnknownJob once the tombstone is stored, and with CompareFailed if the job
  /// has been stored in the meantime.
  Expected<void> leaveTombstone(const JobId &Id, const JobCaller &Caller);
  Expected<CatalogEntry> readFromStore(const JobId &Id);

  TransactionalStore &Kv;
  JobCatalog &Catalog;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_INTAKE_JOBINTAKE_H
