#include "tasks/intake/JobIntake.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/StoreKeys.h"

namespace baobabcove {

namespace {

tl::unexpected<Error> unknownJob(const JobId &Id) {
  return failure(ResultCode::UnknownJob, "There is no job " + Id.str() + ".");
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
  if (Catalog.find(Id))
    return {};
  if (const std::uint64_t Tasks = taskCount(Spec); Tasks > MaxTasksPerJob)
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
  Transaction Change;
  Change.Conditions.push_back({keys::job(Id), 0});
  Change.Writes.push_back({keys::job(Id), Spec.SerializeAsString(), 0});
  const auto Result = Kv.commit(Change);
  if (Result && Result->Revision) {
    Catalog.insert(std::make_shared<wire::TaskJobSpec>(Spec),
                   *Result->Revision);
    return {};
  }
  if (Result)
    return {}; // A job with this id was accepted before.
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
    return {};
  }
  return tl::unexpected<Error>(Result.error());
}

Expected<void> JobIntake::cancel(const JobId &Id) {
  const auto Found = find(Id);
  if (!Found)
    return tl::unexpected<Error>(Found.error());
  if (Found->Cancelled || Found->Completed || Found->Failed)
    return {};
  Transaction Change;
  Change.Conditions.push_back({keys::job(Id), Found->Revision});
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

Expected<JobStatus> JobIntake::status(const JobId &Id) {
  const auto Found = find(Id);
  if (!Found)
    return tl::unexpected<Error>(Found.error());
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
