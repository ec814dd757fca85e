#include "coordinator/GangActions.h"

#include "base/Parallel.h"

#include <mutex>

namespace baobabcove {

namespace {

constexpr Milliseconds CallTimeout{1000};
/// Long enough for the job record to be written before a reservation expires.
constexpr Milliseconds ReservationTtl{6000};
constexpr std::size_t MaxParallelCalls = 32;

ResultCode codeOf(const Expected<wire::CommandReply> &Reply) {
  return Reply ? static_cast<ResultCode>(Reply->code()) : Reply.error().Code;
}

} // namespace

GangActions::GangActions(RpcPeers &Peers, JobStore &JobRecords,
                         const JobRecordWriter &RecordWriter,
                         const JobStateMachine &JobStates)
    : Peers(Peers), JobRecords(JobRecords), RecordWriter(RecordWriter),
      JobStates(JobStates) {}

StartOutcome GangActions::start(const StartOrder &Order) {
  StartOutcome Result;
  StoredJob Stored;
  if (RecordWriter.pending(Order.Job) || !JobRecords.find(Order.Job, Stored)) {
    Result.Reason = {ResultCode::StoreUnavailable,
                     "Earlier changes of the job record are not stored yet."};
    return Result;
  }
  Result = reserveAll(Order, Stored.Record.spec());
  Expected<wire::JobRecord> StartedRecord =
      failure(Result.Reason.Code, Result.Reason.Detail);
  if (Result.Reason.Code == ResultCode::Ok)
    StartedRecord = recordStart(Order);
  if (!StartedRecord) {
    Result.Reason = StartedRecord.error();
    StopOrder Release;
    Release.IssuerEpoch = Order.IssuerEpoch;
    Release.Job = Order.Job;
    Release.Number = Order.Number;
    Release.Members = Order.Members;
    Release.Forget = true;
    stop(Release);
    return Result;
  }
  Result.MayRun = true;
  armAll(Order, *StartedRecord);
  return Result;
}

StartOutcome GangActions::reserveAll(const StartOrder &Order,
                                     const wire::JobSpec &Spec) {
  StartOutcome Result;
  std::mutex Mutex;
  inParallel(Order.Members.size(), MaxParallelCalls, [&](std::size_t I) {
    const wire::GangMember &Member = Order.Members[I];
    wire::ReserveRequest Request;
    Request.set_epoch(Order.IssuerEpoch.value());
    Request.set_job(Order.Job.str());
    Request.set_attempt(Order.Number.value());
    Request.set_tasks(Member.tasks());
    Request.set_accelerators_per_task(Spec.accelerators_per_task());
    Request.set_cores_per_task(Spec.cores_per_task());
    Request.set_memory_mb_per_task(Spec.memory_mb_per_task());
    Request.set_ttl_ms(static_cast<std::uint32_t>(ReservationTtl.count()));
    const auto Reply =
        Peers.reserve(Member.rpc_address(), Request, CallTimeout);
    const ResultCode Code = codeOf(Reply);
    if (Code == ResultCode::Ok)
      return;
    const std::lock_guard<std::mutex> Lock(Mutex);
    Result.RefusingNode = Member.node();
    Result.Reason = {Code, Reply ? Reply->detail() : Reply.error().Detail};
  });
  return Result;
}

Expected<wire::JobRecord> GangActions::recordStart(const StartOrder &Order) {
  StoredJob Current;
  if (!JobRecords.find(Order.Job, Current))
    return failure(ResultCode::UnknownJob, "The job record no longer exists.");
  for (;;) {
    wire::JobRecord &Record = Current.Record;
    if (hasEnded(Record) || Record.cancel_requested() ||
        Record.attempt() >= Order.Number.value() ||
        !JobStates.applyEvent(Record, "start"))
      return failure(ResultCode::CompareFailed,
                     "The job record no longer allows this start.");
    Record.set_attempt(Order.Number.value());
    Record.set_epoch(Order.IssuerEpoch.value());
    Record.set_borrowed(Order.Borrowed);
    Record.clear_members();
    for (const auto &Member : Order.Members)
      *Record.add_members() = Member;
    const auto Written = JobRecords.write(Record, Current.Revision);
    if (Written)
      return Record;
    if (Written.error().Code != ResultCode::CompareFailed)
      return tl::unexpected<Error>(Written.error());
    const auto Newer = JobRecords.readFromStore(Order.Job);
    if (!Newer)
      return tl::unexpected<Error>(Newer.error());
    Current = *Newer;
  }
}

void GangActions::armAll(const StartOrder &Order,
                         const wire::JobRecord &Record) {
  wire::StartRequest Request;
  Request.set_epoch(Order.IssuerEpoch.value());
  Request.set_job(Order.Job.str());
  Request.set_attempt(Order.Number.value());
  Request.set_payload(Record.spec().payload());
  Request.set_resume_ms(static_cast<std::uint64_t>(Order.ResumeFrom.count()));
  for (const auto &Member : Order.Members)
    *Request.add_members() = Member;
  // Failed calls need no handling: the lead agent starts the gang only when all
  // members are armed. The part of an unarmed member is missing from later
  // worker reports, and the whole gang is stopped then.
  inParallel(Order.Members.size(), MaxParallelCalls, [&](std::size_t I) {
    (void)Peers.start(Order.Members[I].rpc_address(), Request, CallTimeout);
  });
}

void GangActions::stop(const StopOrder &Order) {
  wire::StopRequest Request;
  Request.set_epoch(Order.IssuerEpoch.value());
  Request.set_job(Order.Job.str());
  Request.set_attempt(Order.Number.value());
  Request.set_checkpoint(Order.Checkpoint);
  Request.set_deadline_ms(static_cast<std::uint32_t>(Order.Deadline.count()));
  Request.set_forget(Order.Forget);
  if (Order.Members.empty())
    return;
  (void)Peers.stop(Order.Members[0].rpc_address(), Request, CallTimeout);
  inParallel(Order.Members.size() - 1, MaxParallelCalls, [&](std::size_t I) {
    (void)Peers.stop(Order.Members[I + 1].rpc_address(), Request, CallTimeout);
  });
}

Expected<wire::InventoryReply>
GangActions::inventory(const std::string &Address, Epoch IssuerEpoch) {
  wire::InventoryRequest Request;
  Request.set_epoch(IssuerEpoch.value());
  auto Reply = Peers.inventory(Address, Request, CallTimeout);
  if (Reply && static_cast<ResultCode>(Reply->code()) != ResultCode::Ok)
    return failure(static_cast<ResultCode>(Reply->code()),
                   "The agent refused the coordinator's epoch.");
  return Reply;
}

} // namespace baobabcove
