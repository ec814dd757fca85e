#include "tasks/coordination/ProgressWriter.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/StoreKeys.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// The store accepts this many entries per transaction: one condition on the
/// role key, and for each job one condition, one write, and one for each page.
constexpr std::size_t MaxEntries = 32;
static_assert(3 + progressPages(MaxTasksPerJob) <= MaxEntries);

/// Returns the revision of \p Key among the current items, or zero if it is
/// absent.
std::int64_t revisionOf(const CommitResult &Result, const std::string &Key) {
  for (const StoreItem &Item : Result.Current)
    if (Item.Key == Key)
      return Item.Revision;
  return 0;
}

const std::string *valueOf(const CommitResult &Result, const std::string &Key) {
  for (const StoreItem &Item : Result.Current)
    if (Item.Key == Key && Item.Revision)
      return &Item.Value;
  return nullptr;
}

} // namespace

WriteOutcome ProgressWriter::write(const CoordinatorTerm &Term,
                                   std::map<JobId, TaskJob> &Jobs,
                                   std::set<JobId> &Dirty) {
  while (!Dirty.empty())
    if (const auto Outcome = writeBatch(Term, Jobs, Dirty);
        Outcome != WriteOutcome::Written)
      return Outcome;
  return WriteOutcome::Written;
}

WriteOutcome ProgressWriter::writeBatch(const CoordinatorTerm &Term,
                                        std::map<JobId, TaskJob> &Jobs,
                                        std::set<JobId> &Dirty) {
  if (Term.Number != PagesTerm) {
    PagesTerm = Term.Number;
    StoredPages.clear();
  }
  Transaction Change;
  Change.Conditions.push_back({keys::Coordinator, Term.Revision});
  std::map<JobId, PendingRecords> Written;
  for (auto Id = Dirty.begin(); Id != Dirty.end();) {
    const auto Job = Jobs.find(*Id);
    if (Job == Jobs.end()) {
      Id = Dirty.erase(Id);
      continue;
    }
    PendingRecords Pending = pendingRecords(Job->second);
    // All pages of a job are written at once, so that a successor never sees a
    // part of a gang placed.
    if (Change.size() + 2 + Pending.ChangedPages.size() > MaxEntries &&
        !Written.empty())
      break;
    const std::string Key = keys::progress(*Id);
    Change.Conditions.push_back({Key, Job->second.Revision});
    Change.Writes.push_back({Key, Pending.Records.Head, 0});
    for (std::size_t Page : Pending.ChangedPages)
      Change.Writes.push_back(
          {keys::progressPage(*Id, Page), Pending.Records.Pages[Page], 0});
    Written.emplace(*Id, std::move(Pending));
    ++Id;
  }
  if (Written.empty())
    return WriteOutcome::Written;
  const auto Result = Kv.commit(Change);
  if (!Result) {
    LOG4CPLUS_WARN(logOf("record"), LogFields("progress not written")
                                        .add("jobs", Written.size())
                                        .add("epoch", Term.Number)
                                        .add("why", Result.error().Detail));
    return WriteOutcome::Retry;
  }
  if (!Result->Revision &&
      revisionOf(*Result, keys::Coordinator) != Term.Revision)
    return WriteOutcome::RoleLost;
  for (auto &[Id, Pending] : Written) {
    TaskJob &Job = Jobs.at(Id);
    if (Result->Revision) {
      Job.Revision = *Result->Revision;
      Dirty.erase(Id);
      if (Job.EndedMs)
        StoredPages.erase(Id); // The job is not written again.
      else if (!Pending.Records.Pages.empty())
        StoredPages[Id] = std::move(Pending.Records.Pages);
      continue;
    }
    const std::string Key = keys::progress(Id);
    Job.Revision = revisionOf(*Result, Key);
    const std::string *Stored = valueOf(*Result, Key);
    // The head of a job with pages does not tell which pages are stored.
    if (Stored && *Stored == Pending.Records.Head &&
        Pending.Records.Pages.empty())
      Dirty.erase(Id);
    StoredPages.erase(Id);
  }
  return WriteOutcome::Written;
}

ProgressWriter::PendingRecords
ProgressWriter::pendingRecords(const TaskJob &Job) const {
  PendingRecords Pending{progressRecords(Job), {}};
  const auto Known = StoredPages.find(Job.id());
  for (std::size_t Page = 0; Page < Pending.Records.Pages.size(); ++Page)
    if (Known == StoredPages.end() ||
        Known->second[Page] != Pending.Records.Pages[Page])
      Pending.ChangedPages.push_back(Page);
  return Pending;
}

WriteOutcome ProgressWriter::remove(const CoordinatorTerm &Term,
                                    const JobId &Id, std::size_t Tasks) {
  Transaction Change;
  Change.Conditions.push_back({keys::Coordinator, Term.Revision});
  Change.Removals = {keys::job(Id), keys::progress(Id), keys::cancel(Id)};
  for (std::size_t Page = 0; Page < progressPages(Tasks); ++Page)
    Change.Removals.push_back(keys::progressPage(Id, Page));
  const auto Result = Kv.commit(Change);
  if (!Result)
    return WriteOutcome::Retry;
  StoredPages.erase(Id);
  return Result->Revision ? WriteOutcome::Written : WriteOutcome::RoleLost;
}

} // namespace baobabcove
