#include "tasks/intake/JobIntake.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/StoreKeys.h"

namespace baobabcove {

namespace {

tl::unexpected<Error> unknownJob(const JobId &Id) {
  return failure(ResultCode::UnknownJob, "There is no job " + Id.str() + ".");
}

tl::unexpected<Error> foreignJob(const JobId &Id) {
  return failure(ResultCode::WrongWorkspace,
                 "Job " + Id.str() + " belongs to another workspace.");
}

Expected<void> checkAccess(const JobCaller &Caller,
                           const wire::TaskJobSpec &Spec) {
  if (!mayAccess(Caller, Spec))
    return foreignJob(JobId(Spec.id()));
  return {};
}

JobCaller submitterOf(const wire::TaskJobSpec &Spec) {
  return {WorkspaceId(Spec.workspace()), Spec.queue()};
}

const StoreItem *findItem(const CommitResult &Result, const std::string &Key) {
  for (const StoreItem &Item : Result.Current)
    if (Item.Key == Key && Item.Revision)
      return &Item;
  return nullptr;
}

} // namespace

Expected<void> JobIntake::accept(const wire::TaskJobSpec &Spec) {
  const JobId Id(Spec.id());
  if (const auto Known = Catalog.find(Id))
    return checkAccess(submitterOf(Spec), *Known->Spec);
  const std::uint64_t Tasks = taskCount(Spec);
  if (Tasks == 0)
    return failure(ResultCode::MalformedRequest,
                   "The job has no tasks: the count of each step is zero.");
  if (Tasks > MaxTasksPerJob)
    return failure(ResultCode::JobTooLarge,
                   "The job has " + std::to_string(Tasks) +
                       " tasks, more than the limit of " +
                       std::to_string(MaxTasksPerJob) + ".");
  if (Kv.health().isUnavailable(BootClock::now()))
    return failure(
        ResultCode::StoreUnavailable,
        "The store has not answered for " +
            std::to_string(
                Kv.health().outageDuration(BootClock::now()).count()) +
            " ms; the job was not stored.");
  if (const auto Room = checkRoom(Spec); !Room) {
    // A refusal must not hide that another entry has accepted the job.
    const auto Stored = readFromStore(Id);
    if (Stored)
      return checkAccess(submitterOf(Spec), *Stored->Spec);
    return Stored.error().Code == ResultCode::UnknownJob
               ? Room
               : tl::unexpected<Error>(Stored.error());
  }
  Transaction Change;
  Change.Conditions.push_back({keys::job(Id), 0});
  Change.Conditions.push_back({keys::tombstone(Id, ownerOf(Spec)), 0});
  Change.Writes.push_back({keys::job(Id), Spec.SerializeAsString(), 0});
  const auto Result = Kv.commit(Change);
  if (Result && Result->Revision) {
    Catalog.insert(std::make_shared<wire::TaskJobSpec>(Spec),
                   *Result->Revision);
    return {};
  }
  if (Result)
    return resolveConflict(Spec, *Result);
  if (Result.error().Code != ResultCode::StoreAnswerLost)
    return tl::unexpected<Error>(Result.error());
  // The write may have been applied or may still be applied. Only a read that
  // finds the job resolves the unknown outcome.
  if (const auto Found = readFromStore(Id)) {
    LOG4CPLUS_INFO(
        logOf("jobs"),
        LogFields("unknown commit outcome resolved by reading the job")
            .add("job", Id)
            .add("revision", Found->Revision));
    return checkAccess(submitterOf(Spec), *Found->Spec);
  }
  return tl::unexpected<Error>(Result.error());
}

Expected<void> JobIntake::checkRoom(const wire::TaskJobSpec &Spec) const {
  const std::uint64_t Tasks = unfinishedSize(Spec);
  const UnfinishedTasks Held = Catalog.unfinishedTasks(Spec.workspace());
  const auto Refuse = [&](ResultCode Code, const std::string &Holder,
                          std::uint64_t HeldTasks, std::uint64_t Limit) {
    return failure(Code, Holder + " has " + std::to_string(HeldTasks) +
                             " unfinished tasks; with the " +
                             std::to_string(Tasks) +
                             " of this job it would exceed the limit of " +
                             std::to_string(Limit) + ".");
  };
  if (Held.OfWorkspace + Tasks > MaxUnfinishedTasksPerWorkspace)
    return Refuse(ResultCode::WorkspaceLimit, "The workspace", Held.OfWorkspace,
                  MaxUnfinishedTasksPerWorkspace);
  if (Held.InCell + Tasks > MaxUnfinishedTasks)
    return Refuse(ResultCode::Overloaded, "The cell", Held.InCell,
                  MaxUnfinishedTasks);
  return {};
}

Expected<void> JobIntake::resolveConflict(const wire::TaskJobSpec &Spec,
                                          const CommitResult &Current) {
  const JobId Id(Spec.id());
  const StoreItem *Stored = findItem(Current, keys::job(Id));
  if (!Stored)
    return failure(ResultCode::UnknownJob,
                   "Job " + Id.str() +
                       " was cancelled before it was stored; submit it under "
                       "a new id.");
  // A job with this id was accepted before.
  wire::TaskJobSpec Accepted;
  if (!Accepted.ParseFromString(Stored->Value))
    return foreignJob(Id);
  return checkAccess(submitterOf(Spec), Accepted);
}

Expected<void> JobIntake::cancel(const JobId &Id, const JobCaller &Caller) {
  // The job may be stored while its tombstone is being written.
  constexpr int MaxAttempts = 2;
  Expected<void> Outcome;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto Found = find(Id);
    if (!Found && Found.error().Code != ResultCode::UnknownJob)
      return tl::unexpected<Error>(Found.error());
    if (Found) {
      const auto Allowed = checkAccess(Caller, *Found->Spec);
      return Allowed ? cancelStored(Id, *Found) : Allowed;
    }
    Outcome = leaveTombstone(Id, Caller);
    if (Outcome.error().Code != ResultCode::CompareFailed)
      return Outcome;
  }
  return failure(ResultCode::StoreAnswerLost,
                 "Job " + Id.str() + " was stored and removed meanwhile.");
}

Expected<void> JobIntake::leaveTombstone(const JobId &Id,
                                         const JobCaller &Caller) {
  const std::vector<std::string> Owners = ownersFor(Caller);
  Transaction Change;
  Change.Conditions.push_back({keys::job(Id), 0});
  for (const std::string &Owner : Owners)
    Change.Writes.push_back(
        {keys::tombstone(Id, Owner), std::to_string(wallClockMs()), 0});
  const auto Result = Kv.commit(Change);
  if (Result && !Result->Revision)
    return failure(ResultCode::CompareFailed, "The job is in the store.");
  if (!Result) {
    if (Result.error().Code != ResultCode::StoreAnswerLost)
      return tl::unexpected<Error>(Result.error());
    // All tombstones of the transaction are written together.
    const auto Written = Kv.read(keys::tombstone(Id, Owners.front()));
    if (!Written || !*Written)
      return tl::unexpected<Error>(Result.error());
  }
  LOG4CPLUS_INFO(logOf("jobs"), LogFields("tombstone stored").add("job", Id));
  return unknownJob(Id);
}

Expected<void> JobIntake::cancelStored(const JobId &Id,
                                       const CatalogEntry &Found) {
  if (Found.Cancelled || Found.Completed || Found.Failed)
    return {};
  Transaction Change;
  Change.Conditions.push_back({keys::job(Id), Found.Revision});
  Change.Conditions.push_back({keys::cancel(Id), 0});
  Change.Writes.push_back({keys::cancel(Id), "1", 0});
  const auto Result = Kv.commit(Change);
  if (!Result) {
    const auto Written = Result.error().Code == ResultCode::StoreAnswerLost
                             ? Kv.read(keys::cancel(Id))
                             : Expected<std::optional<StoreItem>>();
    if (!Written || !*Written)
      return tl::unexpected<Error>(Result.error());
  } else if (!Result->Revision && !findItem(*Result, keys::cancel(Id))) {
    return unknownJob(Id);
  }
  LOG4CPLUS_INFO(logOf("jobs"),
                 LogFields("cancellation stored").add("job", Id));
  Catalog.markCancelled(Id);
  return {};
}

Expected<JobStatus> JobIntake::status(const JobId &Id,
                                      const JobCaller &Caller) {
  const auto Found = find(Id);
  if (!Found)
    return tl::unexpected<Error>(Found.error());
  if (const auto Allowed = checkAccess(Caller, *Found->Spec); !Allowed)
    return tl::unexpected<Error>(Allowed.error());
  return Found->status();
}

Expected<CatalogEntry> JobIntake::find(const JobId &Id) {
  if (auto Known = Catalog.find(Id))
    return *Known;
  return readFromStore(Id);
}

Expected<CatalogEntry> JobIntake::readFromStore(const JobId &Id) {
  const auto Item = Kv.read(keys::job(Id));
  if (!Item)
    return tl::unexpected<Error>(Item.error());
  if (!*Item)
    return unknownJob(Id);
  Catalog.apply(StoreChanges{{**Item}, 0});
  if (const auto Progress = Kv.read(keys::progress(Id)); Progress && *Progress)
    Catalog.apply(StoreChanges{{**Progress}, 0});
  if (const auto Cancel = Kv.read(keys::cancel(Id)); Cancel && *Cancel)
    Catalog.markCancelled(Id);
  if (auto Known = Catalog.find(Id))
    return *Known;
  return unknownJob(Id);
}

} // namespace baobabcove
