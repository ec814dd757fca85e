#include "tasks/coordination/ProgressWriter.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/StoreKeys.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// The store accepts 32 entries per transaction: one condition on the role key,
/// and one condition and one write per job.
constexpr std::size_t JobsPerWrite = 15;

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
  Transaction Change;
  Change.Conditions.push_back({keys::Coordinator, Term.Revision});
  std::map<JobId, std::string> Values;
  for (auto Id = Dirty.begin(); Id != Dirty.end();) {
    const auto Job = Jobs.find(*Id);
    if (Job == Jobs.end()) {
      Id = Dirty.erase(Id);
      continue;
    }
    if (Values.size() == JobsPerWrite)
      break;
    const std::string Key = keys::progress(*Id);
    std::string Value = Job->second.progress().SerializeAsString();
    Change.Conditions.push_back({Key, Job->second.Revision});
    Change.Writes.push_back({Key, Value, 0});
    Values.emplace(*Id, std::move(Value));
    ++Id;
  }
  if (Values.empty())
    return WriteOutcome::Written;
  const auto Result = Kv.commit(Change);
  if (!Result) {
    LOG4CPLUS_WARN(logOf("record"), LogFields("progress not written")
                                        .add("jobs", Values.size())
                                        .add("epoch", Term.Number)
                                        .add("why", Result.error().Detail));
    return WriteOutcome::Retry;
  }
  if (!Result->Revision &&
      revisionOf(*Result, keys::Coordinator) != Term.Revision)
    return WriteOutcome::RoleLost;
  for (const auto &[Id, Value] : Values) {
    TaskJob &Job = Jobs.at(Id);
    if (Result->Revision) {
      Job.Revision = *Result->Revision;
      Dirty.erase(Id);
      continue;
    }
    const std::string Key = keys::progress(Id);
    Job.Revision = revisionOf(*Result, Key);
    const std::string *Stored = valueOf(*Result, Key);
    if (Stored && *Stored == Value)
      Dirty.erase(Id);
  }
  return WriteOutcome::Written;
}

WriteOutcome ProgressWriter::remove(const CoordinatorTerm &Term,
                                    const JobId &Id) {
  Transaction Change;
  Change.Conditions.push_back({keys::Coordinator, Term.Revision});
  Change.Removals = {keys::job(Id), keys::progress(Id), keys::cancel(Id)};
  const auto Result = Kv.commit(Change);
  if (!Result)
    return WriteOutcome::Retry;
  return Result->Revision ? WriteOutcome::Written : WriteOutcome::RoleLost;
}

} // namespace baobabcove
