#include "tasks/intake/JobCatalog.h"

#include "tasks/StoreKeys.h"
#include "tasks/StoredJob.h"

#include <algorithm>

#include <Poco/NumberParser.h>

namespace baobabcove {

namespace {

/// Returns the job id in \p Key if \p Key starts with \p Prefix.
std::optional<JobId> idUnder(const std::string &Prefix,
                             const std::string &Key) {
  if (Key.rfind(Prefix, 0) != 0)
    return std::nullopt;
  return JobId(Key.substr(Prefix.size()));
}

} // namespace

void JobCatalog::replaceAll(const StoreChanges &All) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::map<JobId, CatalogEntry> Kept;
    for (const StoreItem &Item : All.Items)
      if (const auto Id = idUnder(keys::Jobs, Item.Key))
        if (const auto Known = Entries.find(*Id); Known != Entries.end())
          Kept.insert(*Known);
    Entries = std::move(Kept);
    Holder.reset();
  }
  apply(All);
  if (Listener)
    Listener->onRoleKeyChange();
}

void JobCatalog::apply(const StoreChanges &Changes) {
  // Progress and cancellations may be listed before the job itself.
  for (const StoreItem &Item : Changes.Items)
    if (idUnder(keys::Jobs, Item.Key))
      applyItem(Item);
  for (const StoreItem &Item : Changes.Items)
    if (!idUnder(keys::Jobs, Item.Key))
      applyItem(Item);
}

void JobCatalog::applyItem(const StoreItem &Item) {
  if (const auto Job = idUnder(keys::Jobs, Item.Key))
    applyJob(*Job, Item);
  else if (const auto Progress = idUnder(keys::Progress, Item.Key))
    applyProgress(*Progress, Item);
  else if (const auto Cancel = idUnder(keys::Cancels, Item.Key);
           Cancel && Item.Revision)
    markCancelled(*Cancel);
  else if (Item.Key == keys::Coordinator)
    applyRoleHolder(Item);
  else if (Item.Key == keys::RoleRequest && Item.Revision)
    applyRoleRequest(Item);
}

void JobCatalog::applyJob(const JobId &Id, const StoreItem &Item) {
  if (Item.Revision == 0) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Entries.erase(Id);
    return;
  }
  if (auto Spec = readStoredJob(Item))
    insert(std::move(Spec), Item.Revision);
}

void JobCatalog::insert(std::shared_ptr<const wire::TaskJobSpec> Spec,
                        std::int64_t Revision) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    CatalogEntry &Entry = Entries[JobId(Spec->id())];
    if (Entry.Spec)
      return;
    Entry.Spec = Spec;
    Entry.Revision = Revision;
    Entry.Size = unfinishedSize(*Spec);
  }
  if (Listener)
    Listener->onJob(std::move(Spec));
}

void JobCatalog::applyProgress(const JobId &Id, const StoreItem &Item) {
  wire::TaskJobProgress Progress;
  if (Item.Revision == 0 || !Progress.ParseFromString(Item.Value))
    return;
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  // A listing may be seconds older than what is known.
  Found->second.Begun = Found->second.Begun || Progress.begun();
  Found->second.Failed = Progress.failed();
  Found->second.Completed = Progress.completed();
}

void JobCatalog::markCancelled(const JobId &Id) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Entries.find(Id);
    if (Found == Entries.end() || Found->second.Cancelled)
      return;
    Found->second.Cancelled = true;
  }
  if (Listener)
    Listener->onCancel(Id);
}

void JobCatalog::applyRoleHolder(const StoreItem &Item) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Holder.reset();
    if (Item.Revision)
      Holder = RoleHolder{Item.Value, Item.Revision};
  }
  if (Listener)
    Listener->onRoleKeyChange();
}

void JobCatalog::applyRoleRequest(const StoreItem &Item) {
  int Delay = 0;
  if (Listener && Poco::NumberParser::tryParse(Item.Value, Delay))
    Listener->onRoleRequest(Milliseconds(Delay));
}

std::optional<CatalogEntry> JobCatalog::find(const JobId &Id) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return std::nullopt;
  return Found->second;
}

std::size_t JobCatalog::pendingJobs(const std::string &Queue) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Pair) {
        const CatalogEntry &Entry = Pair.second;
        return Entry.Spec->queue() == Queue &&
               Entry.status() == JobStatus::Pending;
      }));
}

UnfinishedTasks
JobCatalog::unfinishedTasks(const std::string &Workspace) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  UnfinishedTasks Sum;
  for (const auto &[Id, Entry] : Entries) {
    if (Entry.isOver())
      continue;
    Sum.InCell += Entry.Size;
    if (Entry.Spec->workspace() == Workspace)
      Sum.OfWorkspace += Entry.Size;
  }
  return Sum;
}

std::size_t JobCatalog::size() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Entries.size();
}

std::optional<RoleHolder> JobCatalog::roleHolder() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Holder;
}

} // namespace baobabcove
