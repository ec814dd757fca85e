#include "entry/JobBook.h"

#include "base/Log.h"

#include <set>

namespace baobabcove {

namespace {

constexpr Milliseconds WatchPause{300};

Expected<StoredJob> parse(const StoreEntry &Entry) {
  StoredJob Job;
  Job.Revision = Entry.Revision;
  if (!Job.Record.ParseFromString(Entry.Value))
    return failure(ResultCode::StoreUnavailable,
                   "The record " + Entry.Key + " is unreadable.");
  return Job;
}

} // namespace

bool hasEnded(const wire::JobRecord &Record) {
  return Record.state() == wire::DONE || Record.state() == wire::JOB_FAILED ||
         Record.state() == wire::CANCELLED;
}

JobBook::JobBook(Store &Platform, const std::string &Cell)
    : Platform(Platform), Prefix("jobs/" + Cell + "/") {}

JobBook::~JobBook() {
  Stop = true;
  if (Thread.joinable())
    Thread.join();
}

void JobBook::start(Listener OnChange) {
  Changed = std::move(OnChange);
  Thread = std::thread([this] { run(); });
}

void JobBook::run() {
  while (!Stop) {
    const auto Revision = load();
    if (Revision) {
      Following = true;
      (void)Platform.watch(
          Prefix, *Revision, [this](const StoreEntry &Entry) { take(Entry); },
          Stop);
    }
    Following = false;
    if (!Stop)
      std::this_thread::sleep_for(WatchPause);
  }
}

Expected<std::int64_t> JobBook::load() {
  const auto Snapshot = Platform.list(Prefix);
  if (!Snapshot)
    return tl::unexpected<Error>(Snapshot.error());
  std::set<std::string> Present;
  for (const StoreEntry &Entry : Snapshot->Entries) {
    Present.insert(Entry.Key.substr(Prefix.size()));
    take(Entry);
  }
  std::vector<std::string> Gone;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, Job] : Jobs)
      if (Present.count(Id) == 0)
        Gone.push_back(Id);
  }
  for (const std::string &Id : Gone)
    take({Prefix + Id, "", 0});
  return Snapshot->Revision;
}

void JobBook::take(const StoreEntry &Entry) {
  const std::string Id = Entry.Key.substr(Prefix.size());
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
    StoredJob &Known = Jobs[Id];
    if (Known.Revision >= Job->Revision)
      return;
    Known = *Job;
    Updated.notify_all();
  }
  if (Changed)
    Changed(*Job);
}

Expected<StoredJob> JobBook::submit(const wire::JobRecord &Fresh) {
  const std::string Key = keyOf(JobId(Fresh.id()));
  const auto Written = Platform.swap(Key, 0, Fresh.SerializeAsString(), 0);
  if (Written) {
    take({Key, Fresh.SerializeAsString(), *Written});
    return StoredJob{Fresh, *Written};
  }
  if (Written.error().Code == ResultCode::StoreUnavailable)
    return tl::unexpected<Error>(Written.error());
  auto Present = readThrough(JobId(Fresh.id()));
  if (!Present) {
    // Neither the write nor the reading back has told anything.
    if (Written.error().Code == ResultCode::CompareFailed)
      return tl::unexpected<Error>(Present.error());
    return failure(ResultCode::StoreAnswerLost, Written.error().Detail);
  }
  if (Present->Record.digest() != Fresh.digest())
    return failure(ResultCode::KeyReused,
                   "The key belongs to another job of this workspace.");
  return Present;
}

Expected<StoredJob> JobBook::readThrough(const JobId &Id) {
  const auto Entry = Platform.read(keyOf(Id));
  if (!Entry)
    return tl::unexpected<Error>(Entry.error());
  if (Entry->Revision == 0)
    return failure(ResultCode::UnknownJob, "There is no job " + Id.str() + ".");
  return parse(*Entry);
}

Expected<std::vector<StoredJob>> JobBook::listThrough() {
  const auto Snapshot = Platform.list(Prefix);
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

Expected<StoredJob> JobBook::requestCancel(const JobId &Id) {
  for (;;) {
    auto Present = readThrough(Id);
    if (!Present || hasEnded(Present->Record) ||
        Present->Record.cancel_requested())
      return Present;
    Present->Record.set_cancel_requested(true);
    const auto Written = write(Present->Record, Present->Revision);
    if (Written)
      return StoredJob{Present->Record, *Written};
    if (Written.error().Code != ResultCode::CompareFailed)
      return tl::unexpected<Error>(Written.error());
  }
}

Expected<std::int64_t> JobBook::write(const wire::JobRecord &Record,
                                      std::int64_t Revision) {
  const std::string Key = keyOf(JobId(Record.id()));
  const std::string Value = Record.SerializeAsString();
  auto Written = Platform.swap(Key, Revision, Value, 0);
  if (Written) {
    take({Key, Value, *Written});
    return Written;
  }
  if (Written.error().Code != ResultCode::StoreAnswerLost)
    return Written;
  const auto Present = Platform.read(Key);
  if (!Present)
    return failure(ResultCode::StoreAnswerLost, Written.error().Detail);
  if (Present->Value == Value && Present->Revision > Revision)
    return Present->Revision;
  if (Present->Revision != Revision)
    return failure(ResultCode::CompareFailed, "The job has changed.");
  return failure(ResultCode::StoreAnswerLost, Written.error().Detail);
}

Expected<void> JobBook::remove(const JobId &Id, std::int64_t Revision) {
  return Platform.remove(keyOf(Id), Revision);
}

bool JobBook::find(const JobId &Id, StoredJob &Found) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Known = Jobs.find(Id.str());
  if (Known == Jobs.end())
    return false;
  Found = Known->second;
  return true;
}

std::vector<StoredJob> JobBook::all() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<StoredJob> Result;
  for (const auto &[Id, Job] : Jobs)
    Result.push_back(Job);
  return Result;
}

std::size_t JobBook::openJobs(const WorkspaceId &Workspace) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::size_t Open = 0;
  for (const auto &[Id, Job] : Jobs)
    if (Job.Record.spec().workspace() == Workspace.str() &&
        !hasEnded(Job.Record))
      ++Open;
  return Open;
}

bool JobBook::waitEnded(const JobId &Id, Instant Deadline,
                        StoredJob &Found) const {
  std::unique_lock<std::mutex> Lock(Mutex);
  const auto Look = [&] {
    const auto Known = Jobs.find(Id.str());
    if (Known == Jobs.end())
      return false;
    Found = Known->second;
    return hasEnded(Found.Record);
  };
  return Updated.wait_until(Lock, Deadline, Look);
}

} // namespace baobabcove
