#include "coordinator/GangActions.h"

#include "base/Parallel.h"

#include <mutex>

namespace baobabcove {

namespace {

constexpr Milliseconds CallPatience{1000};
/// Reservations outlive the writing of the record.
constexpr Milliseconds ReservationTtl{6000};
constexpr std::size_t FanOut = 32;

ResultCode codeOf(const Expected<wire::CommandReply> &Reply) {
  return Reply ? static_cast<ResultCode>(Reply->code()) : Reply.error().Code;
}

} // namespace

GangActions::GangActions(RpcPeers &Peers, JobBook &Book,
                         const Recorder &Records, const JobLife &Life)
    : Peers(Peers), Book(Book), Records(Records), Life(Life) {}

StartOutcome GangActions::start(const StartOrder &Order) {
  StartOutcome Result;
  StoredJob Known;
  if (Records.pending(Order.Job) || !Book.find(Order.Job, Known)) {
    Result.Reason = {ResultCode::StoreUnavailable,
                     "Earlier changes of the job are not recorded yet."};
    return Result;
  }
  Result = reserveAll(Order, Known.Record.spec());
  Expected<wire::JobRecord> Recorded =
      failure(Result.Reason.Code, Result.Reason.Detail);
  if (Result.Reason.Code == ResultCode::Ok)
    Recorded = recordStart(Order);
  if (!Recorded) {
    Result.Reason = Recorded.error();
    StopOrder Release;
    Release.By = Order.By;
    Release.Job = Order.Job;
    Release.Number = Order.Number;
    Release.Members = Order.Members;
    Release.Forget = true;
    stop(Release);
    return Result;
  }
  Result.MayRun = true;
  armAll(Order, *Recorded);
  return Result;
}

StartOutcome GangActions::reserveAll(const StartOrder &Order,
                                     const wire::JobSpec &Spec) {
  StartOutcome Result;
  std::mutex Mutex;
  inParallel(Order.Members.size(), FanOut, [&](std::size_t I) {
    const wire::GangMember &Member = Order.Members[I];
    wire::ReserveRequest Request;
    Request.set_epoch(Order.By.value());
    Request.set_job(Order.Job.str());
    Request.set_attempt(Order.Number.value());
    Request.set_tasks(Member.tasks());
    Request.set_accelerators_per_task(Spec.accelerators_per_task());
    Request.set_cores_per_task(Spec.cores_per_task());
    Request.set_memory_mb_per_task(Spec.memory_mb_per_task());
    Request.set_ttl_ms(static_cast<std::uint32_t>(ReservationTtl.count()));
    const auto Reply =
        Peers.reserve(Member.rpc_address(), Request, CallPatience);
    const ResultCode Code = codeOf(Reply);
    if (Code == ResultCode::Ok)
      return;
    const std::lock_guard<std::mutex> Lock(Mutex);
    Result.Refusing = Member.node();
    Result.Reason = {Code, Reply ? Reply->detail() : Reply.error().Detail};
  });
  return Result;
}

Expected<wire::JobRecord> GangActions::recordStart(const StartOrder &Order) {
  StoredJob Present;
  if (!Book.find(Order.Job, Present))
    return failure(ResultCode::UnknownJob, "The job is gone.");
  for (;;) {
    wire::JobRecord &Record = Present.Record;
    if (hasEnded(Record) || Record.cancel_requested() ||
        Record.attempt() >= Order.Number.value() || !Life.move(Record, "start"))
      return failure(ResultCode::CompareFailed, "The job has moved on.");
    Record.set_attempt(Order.Number.value());
    Record.set_epoch(Order.By.value());
    Record.set_borrowed(Order.Borrowed);
    Record.clear_members();
    for (const auto &Member : Order.Members)
      *Record.add_members() = Member;
    const auto Written = Book.write(Record, Present.Revision);
    if (Written)
      return Record;
    if (Written.error().Code != ResultCode::CompareFailed)
      return tl::unexpected<Error>(Written.error());
    const auto Newer = Book.readThrough(Order.Job);
    if (!Newer)
      return tl::unexpected<Error>(Newer.error());
    Present = *Newer;
  }
}

void GangActions::armAll(const StartOrder &Order,
                         const wire::JobRecord &Record) {
  wire::StartRequest Request;
  Request.set_epoch(Order.By.value());
  Request.set_job(Order.Job.str());
  Request.set_attempt(Order.Number.value());
  Request.set_payload(Record.spec().payload());
  Request.set_resume_ms(static_cast<std::uint64_t>(Order.Resume.count()));
  for (const auto &Member : Order.Members)
    *Request.add_members() = Member;
  // A member that is not armed keeps the lead from letting the gang go; its
  // part is then missing from reports, and the whole is stopped.
  inParallel(Order.Members.size(), FanOut, [&](std::size_t I) {
    (void)Peers.start(Order.Members[I].rpc_address(), Request, CallPatience);
  });
}

void GangActions::stop(const StopOrder &Order) {
  wire::StopRequest Request;
  Request.set_epoch(Order.By.value());
  Request.set_job(Order.Job.str());
  Request.set_attempt(Order.Number.value());
  Request.set_checkpoint(Order.Checkpoint);
  Request.set_deadline_ms(static_cast<std::uint32_t>(Order.Deadline.count()));
  Request.set_forget(Order.Forget);
  if (Order.Members.empty())
    return;
  (void)Peers.stop(Order.Members[0].rpc_address(), Request, CallPatience);
  inParallel(Order.Members.size() - 1, FanOut, [&](std::size_t I) {
    (void)Peers.stop(Order.Members[I + 1].rpc_address(), Request, CallPatience);
  });
}

Expected<wire::InventoryReply>
GangActions::inventory(const std::string &Address, Epoch By) {
  wire::InventoryRequest Request;
  Request.set_epoch(By.value());
  auto Reply = Peers.inventory(Address, Request, CallPatience);
  if (Reply && static_cast<ResultCode>(Reply->code()) != ResultCode::Ok)
    return failure(static_cast<ResultCode>(Reply->code()),
                   "The agent refused the epoch.");
  return Reply;
}

} // namespace baobabcove
