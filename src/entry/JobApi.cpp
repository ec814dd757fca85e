#include "entry/JobApi.h"

#include "base/HttpClient.h"
#include "base/Text.h"
#include "coordinator/WireConversions.h"

#include <algorithm>
#include <charconv>

namespace baobabcove {

namespace {

constexpr std::uint32_t MaxTasks = 1024;
constexpr std::uint64_t MaxAccelerators = 1024;
constexpr std::uint32_t MaxCores = 4096;
constexpr std::uint64_t MaxMemoryMb = 1ULL << 30;
constexpr std::size_t MaxPayloadBytes = 65536;
constexpr std::size_t MaxNameBytes = 128;
constexpr std::uint64_t MaxRunMs = 30ULL * 24 * 3600 * 1000;
constexpr std::int64_t MaxWaitMs = 60000;
/// Workers without a heartbeat for up to this long are expected to return.
constexpr Milliseconds WorkerRetention{600000};

HttpResponse jobResponse(const wire::JobRecord &Record, int Status) {
  wire::JobRecord Shown = Record;
  Shown.clear_digest();
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = toJson(Shown);
  return Response;
}

std::string outOfRange(const std::string &Name, std::uint64_t Least,
                       std::uint64_t Most) {
  return Name + " must be from " + std::to_string(Least) + " to " +
         std::to_string(Most) + ".";
}

} // namespace

std::vector<WorkerInfo> knownWorkers(const EntryContext &Context) {
  std::vector<WorkerInfo> Result;
  for (const auto &Each :
       Context.Membership.alive(wire::WORKER, WorkerRetention, monotonicNow()))
    Result.push_back(workerInfoOf(Each.LastHeartbeat));
  return Result;
}

Expected<void> JobApi::checkSpec(const wire::JobSpec &Spec) const {
  const auto Malformed = [](const std::string &Detail) {
    return failure(ResultCode::MalformedRequest, Detail);
  };
  if (Spec.tasks() < 1 || Spec.tasks() > MaxTasks)
    return Malformed(outOfRange("tasks", 1, MaxTasks));
  if (Spec.accelerators_per_task() < 1 ||
      std::uint64_t(Spec.tasks()) * Spec.accelerators_per_task() >
          MaxAccelerators)
    return Malformed(
        outOfRange("tasks times accelerators_per_task", 1, MaxAccelerators));
  if (Spec.cores_per_task() > MaxCores)
    return Malformed(outOfRange("cores_per_task", 0, MaxCores));
  if (Spec.memory_mb_per_task() > MaxMemoryMb)
    return Malformed(outOfRange("memory_mb_per_task", 0, MaxMemoryMb));
  if (Spec.declared_run_ms() > MaxRunMs)
    return Malformed(outOfRange("declared_run_ms", 0, MaxRunMs));
  if (Spec.payload().size() > MaxPayloadBytes)
    return Malformed("payload must be at most " +
                     std::to_string(MaxPayloadBytes) + " bytes.");
  if (Spec.name().size() > MaxNameBytes ||
      Spec.job_class().size() > MaxNameBytes)
    return Malformed("name and job_class must be at most " +
                     std::to_string(MaxNameBytes) + " bytes.");
  return {};
}

Expected<void> JobApi::checkShape(const wire::JobSpec &Spec) const {
  const std::vector<WorkerInfo> Workers = knownWorkers(Context);
  if (Workers.empty())
    return {};
  Scheduler Probe{SchedulerOptions()};
  for (const WorkerInfo &Each : Workers)
    Probe.workerSeen(Each, Instant());
  if (Probe.canEverRun(shapeOf(Spec)))
    return {};
  return failure(ResultCode::ShapeImpossible,
                 "No set of the " + std::to_string(Workers.size()) +
                     " known workers can hold the shape.");
}

Expected<wire::JobRecord> JobApi::parseJob(const HttpRequest &Request,
                                           const Identity &Sender) const {
  wire::JobRecord Record;
  wire::JobSpec &Spec = *Record.mutable_spec();
  if (auto Read = fromJson(Request.Body, Spec); !Read)
    return failure(ResultCode::MalformedRequest, Read.error().Detail);
  if (Spec.workspace().empty())
    Spec.set_workspace(Sender.Workspace);
  if (Spec.accelerators_per_task() == 0)
    Spec.set_accelerators_per_task(1);
  if (Spec.tasks() == 0)
    Spec.set_tasks(1);
  if (Spec.workspace() != Sender.Workspace)
    return failure(ResultCode::WrongWorkspace,
                   "The token belongs to another workspace.");
  if (auto Valid = checkSpec(Spec); !Valid)
    return tl::unexpected<Error>(Valid.error());
  if (auto Fits = checkShape(Spec); !Fits)
    return tl::unexpected<Error>(Fits.error());
  const std::string Key = Request.header("idempotency-key");
  Record.set_id("j-" +
                (Key.empty()
                     ? randomName()
                     : sha256Hex(Spec.workspace() + "\n" + Key).substr(0, 20)));
  Record.set_digest(sha256Hex(Spec.SerializeAsString()));
  Record.set_state(wire::QUEUED);
  Record.set_submitted_at_ms(wallClockMs());
  return Record;
}

HttpResponse JobApi::submit(const HttpRequest &Request) {
  const auto CurrentConfig = Context.ActiveConfig.current();
  const auto Sender = authenticate(Request, *CurrentConfig);
  if (!Sender)
    return errorResponse(Sender.error());
  if (Sender->Workspace.empty())
    return errorResponse(ResultCode::WrongWorkspace,
                         "Submitting a job requires a workspace token.");
  const auto Record = parseJob(Request, *Sender);
  if (!Record)
    return errorResponse(Record.error());
  StoredJob Existing;
  const bool Repeat = Context.JobRecords.find(JobId(Record->id()), Existing);
  const auto Limit =
      CurrentConfig->Workspaces.at(Sender->Workspace).MaxQueuedJobs;
  if (!Repeat &&
      Context.JobRecords.openJobs(WorkspaceId(Sender->Workspace)) >= Limit)
    return errorResponse(ResultCode::WorkspaceLimit,
                         "The workspace has reached its limit of " +
                             std::to_string(Limit) + " open jobs.");
  const auto Accepted = Context.JobRecords.submit(*Record);
  if (!Accepted)
    return errorResponse(Accepted.error());
  Context.Stats.count("jobs_accepted");
  return jobResponse(Accepted->Record, 202);
}

HttpResponse JobApi::list(const HttpRequest &Request) {
  const auto Sender = authenticate(Request, *Context.ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  wire::JobList List;
  for (const StoredJob &Job : Context.JobRecords.all()) {
    if (!Sender->mayAccess(Job.Record.spec().workspace()))
      continue;
    *List.add_jobs() = Job.Record;
    List.mutable_jobs(List.jobs_size() - 1)->clear_digest();
  }
  HttpResponse Response;
  Response.Body = toJson(List);
  return Response;
}

Expected<StoredJob> JobApi::findVisible(const Identity &Sender,
                                        const std::string &Id) const {
  StoredJob Found;
  if (!Context.JobRecords.find(JobId(Id), Found)) {
    auto Read = Context.JobRecords.readFromStore(JobId(Id));
    if (!Read)
      return Read;
    Found = *Read;
  }
  if (!Sender.mayAccess(Found.Record.spec().workspace()))
    return failure(ResultCode::WrongWorkspace,
                   "The job belongs to another workspace.");
  return Found;
}

HttpResponse JobApi::show(const HttpRequest &Request, const std::string &Id) {
  const auto Sender = authenticate(Request, *Context.ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  auto Found = findVisible(*Sender, Id);
  if (!Found)
    return errorResponse(Found.error());
  const std::string Wait = Request.query("wait_ms");
  if (Wait.empty())
    return jobResponse(Found->Record, 200);
  std::int64_t WaitMs = 0;
  const char *End = Wait.data() + Wait.size();
  const auto Read = std::from_chars(Wait.data(), End, WaitMs);
  if (Read.ec != std::errc() || Read.ptr != End || WaitMs < 0 ||
      WaitMs > MaxWaitMs)
    return errorResponse(ResultCode::MalformedRequest,
                         outOfRange("wait_ms", 0, MaxWaitMs));
  (void)Context.JobRecords.waitEnded(
      JobId(Id), monotonicNow() + Milliseconds(WaitMs), *Found);
  return jobResponse(Found->Record, 200);
}

HttpResponse JobApi::cancel(const HttpRequest &Request, const std::string &Id) {
  const auto Sender = authenticate(Request, *Context.ActiveConfig.current());
  if (!Sender)
    return errorResponse(Sender.error());
  const auto Found = findVisible(*Sender, Id);
  if (!Found)
    return errorResponse(Found.error());
  const auto Cancelled = Context.JobRecords.requestCancel(JobId(Id));
  if (!Cancelled)
    return errorResponse(Cancelled.error());
  return jobResponse(Cancelled->Record, 202);
}

} // namespace baobabcove
