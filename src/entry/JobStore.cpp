#include "entry/JobStore.h"

#include "base/Log.h"

#include <set>

namespace baobabcove {

namespace {

constexpr Milliseconds WatchRetryDelay{300};

Expected<StoredJob> parse(const StoreEntry &Entry) {
  StoredJob Job;
  Job.Revision = Entry.Revision;
  if (!Job.Record.ParseFromString(Entry.Value))
    return failure(ResultCode::StoreUnavailable,
                   "The job record " + Entry.Key + " cannot be parsed.");
  return Job;
}

} // namespace

bool hasEnded(const wire::JobRecord &Record) {
  return Record.state() == wire::DONE || Record.state() == wire::JOB_FAILED ||
         Record.state() == wire::CANCELLED;
}

JobStore::JobStore(Store &StoreClient, const std::string &Cell)
    : StoreClient(StoreClient), KeyPrefix("jobs/" + Cell + "/") {}

JobStore::~JobStore() {
  Stop = true;
  if (WatchThread.joinable())
    WatchThread.join();
}

void JobStore::start(Listener ChangeListener) {
  OnChange = std::move(ChangeListener);
  WatchThread = std::thread([this] { run(); });
}

void JobStore::run() {
  while (!Stop) {
    const auto Revision = loadSnapshot();
    if (Revision) {
      WatchActive = true;
      (void)StoreClient.watch(
          KeyPrefix, *Revision,
          [this](const StoreEntry &Entry) { applyEntry(Entry); }, Stop);
    }
    WatchActive = false;
    if (!Stop)
      std::this_thread::sleep_for(WatchRetryDelay);
  }
}

Expected<std::int64_t> JobStore::loadSnapshot() {
  const auto Snapshot = StoreClient.list(KeyPrefix);
  if (!Snapshot)
    return tl::unexpected<Error>(Snapshot.error());
  std::set<std::string> ListedIds;
  for (const StoreEntry &Entry : Snapshot->Entries) {
    ListedIds.insert(Entry.Key.substr(KeyPrefix.size()));
    applyEntry(Entry);
  }
  std::vector<std::string> RemovedIds;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, Job] : Jobs)
      if (ListedIds.count(Id) == 0)
        RemovedIds.push_back(Id);
  }
  for (const std::string &Id : RemovedIds)
    applyEntry({KeyPrefix + Id, "", 0});
  return Snapshot->Revision;
}

void JobStore::applyEntry(const StoreEntry &Entry) {
  const std::string Id = Entry.Key.substr(KeyPrefix.size());
  if (Entry.Revision == 0) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Jobs.erase(Id);
    return;
  }
  const auto Job = parse(Entry);
  if (!Job) {
    LOG4CPLUS_ERROR(logOf("jobs"), Job.error().Detail);
    return;
  }
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    StoredJob &Cached = Jobs[Id];
    if (Cached.Revision >= Job->Revision)
      return;
    Cached = *Job;
    RecordsChanged.notify_all();
  }
  if (OnChange)
    OnChange(*Job);
}

Expected<StoredJob> JobStore::submit(const wire::JobRecord &NewRecord) {
  const std::string Key = keyOf(JobId(NewRecord.id()));
  const auto Written =
      StoreClient.swap(Key, 0, NewRecord.SerializeAsString(), 0);
  if (Written) {
    applyEntry({Key, NewRecord.SerializeAsString(), *Written});
    return StoredJob{NewRecord, *Written};
  }
  if (Written.error().Code == ResultCode::StoreUnavailable)
    return tl::unexpected<Error>(Written.error());
  auto Current = readFromStore(JobId(NewRecord.id()));
  if (!Current) {
    // Neither the write nor the read shows whether the job was stored.
    if (Written.error().Code == ResultCode::CompareFailed)
      return tl::unexpected<Error>(Current.error());
    return failure(ResultCode::StoreAnswerLost, Written.error().Detail);
  }
  if (Current->Record.digest() != NewRecord.digest())
    return failure(ResultCode::KeyReused,
                   "The key belongs to a different job of this workspace.");
  return Current;
}

Expected<StoredJob> JobStore::readFromStore(const JobId &Id) {
  const auto Entry = StoreClient.read(keyOf(Id));
  if (!Entry)
    return tl::unexpected<Error>(Entry.error());
  if (Entry->Revision == 0)
    return failure(ResultCode::UnknownJob, "There is no job " + Id.str() + ".");
  return parse(*Entry);
}

Expected<std::vector<StoredJob>> JobStore::listFromStore() {
  const auto Snapshot = StoreClient.list(KeyPrefix);
  if (!Snapshot)
    return tl::unexpected<Error>(Snapshot.error());
  std::vector<StoredJob> Result;
  for (const StoreEntry &Entry : Snapshot->Entries) {
    const auto Job = parse(Entry);
    if (Job)
      Result.push_back(*Job);
  }
  return Result;
}

Expected<StoredJob> JobStore::requestCancel(const JobId &Id) {
  for (;;) {
    auto Current = readFromStore(Id);
    if (!Current || hasEnded(Current->Record) ||
        Current->Record.cancel_requested())
      return Current;
    Current->Record.set_cancel_requested(true);
    const auto Written = write(Current->Record, Current->Revision);
    if (Written)
      return StoredJob{Current->Record, *Written};
    if (Written.error().Code != ResultCode::CompareFailed)
      return tl::unexpected<Error>(Written.error());
  }
}

Expected<std::int64_t> JobStore::write(const wire::JobRecord &Record,
                                       std::int64_t Revision) {
  const std::string Key = keyOf(JobId(Record.id()));
  const std::string Value = Record.SerializeAsString();
  auto Written = StoreClient.swap(Key, Revision, Value, 0);
  if (Written) {
    applyEntry({Key, Value, *Written});
    return Written;
  }
  if (Written.error().Code != ResultCode::StoreAnswerLost)
    return Written;
  const auto Current = StoreClient.read(Key);
  if (!Current)
    return failure(ResultCode::StoreAnswerLost, Written.error().Detail);
  if (Current->Value == Value && Current->Revision > Revision)
    return Current->Revision;
  if (Current->Revision != Revision)
    return failure(ResultCode::CompareFailed, "The job record has changed.");
  return failure(ResultCode::StoreAnswerLost, Written.error().Detail);
}

Expected<void> JobStore::remove(const JobId &Id, std::int64_t Revision) {
  return StoreClient.remove(keyOf(Id), Revision);
}

bool JobStore::find(const JobId &Id, StoredJob &Found) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Cached = Jobs.find(Id.str());
  if (Cached == Jobs.end())
    return false;
  Found = Cached->second;
  return true;
}

std::vector<StoredJob> JobStore::all() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<StoredJob> Result;
  for (const auto &[Id, Job] : Jobs)
    Result.push_back(Job);
  return Result;
}

std::size_t JobStore::openJobs(const WorkspaceId &Workspace) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::size_t Open = 0;
  for (const auto &[Id, Job] : Jobs)
    if (Job.Record.spec().workspace() == Workspace.str() &&
        !hasEnded(Job.Record))
      ++Open;
  return Open;
}

bool JobStore::waitEnded(const JobId &Id, Instant Deadline,
                         StoredJob &Found) const {
  std::unique_lock<std::mutex> Lock(Mutex);
  const auto Ended = [&] {
    const auto Cached = Jobs.find(Id.str());
    if (Cached == Jobs.end())
      return false;
    Found = Cached->second;
    return hasEnded(Found.Record);
  };
  return RecordsChanged.wait_until(Lock, Deadline, Ended);
}

} // namespace baobabcove
