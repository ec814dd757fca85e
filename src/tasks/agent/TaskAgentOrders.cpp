/// \file
/// The part of TaskAgent that carries out orders on its worker.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/agent/TaskAgent.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// How often an idle thread checks whether to stop.
constexpr Milliseconds QueuePollPeriod{200};
/// Lowest rate of a worker's clock relative to real time.
constexpr double SlowestClockRate = 0.98;

const char *outcomeName(CallOutcome Outcome) {
  switch (Outcome) {
  case CallOutcome::Done:
    return "done";
  case CallOutcome::Refused:
    return "refused";
  case CallOutcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

void TaskAgent::orderLoop() {
  for (;;) {
    const auto Order = Queue.pop(QueuePollPeriod);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
    }
    if (Order)
      dispatch(*Order);
  }
}

void TaskAgent::dispatch(const QueuedOrder &Order) {
  if (Order.Stop)
    sendStop(Order);
  else
    sendStart(Order);
}

void TaskAgent::sendStart(const QueuedOrder &Order) {
  const RunId Run(Order.Task, Order.Run);
  WorkerStart Start;
  bool MayHaveBeenSent = true;
  bool MaySend = false;
  WorkerCall Request;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!RunOrders.isStartPending(Run))
      return;
    // The coordinator has not received the end yet.
    if (hasListedEnd(Run)) {
      RunOrders.markStarted(Run);
      return;
    }
    for (const wire::StartOrder &Wanted : Orders.starts())
      if (Wanted.task() == Order.Task && Wanted.run() == Order.Run) {
        Start = {Wanted.task(), Wanted.run(), Wanted.payload(),
                 Wanted.checkpoint()};
        MayHaveBeenSent = Wanted.may_have_been_sent();
      }
    if (Start.Task.empty())
      return;
  }
  if (!hasWorkerClock())
    listRuns(Milliseconds(0));
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    // The start may have become void meanwhile.
    if (!RunOrders.isStartPending(Run))
      return;
    Request = prepareCall();
    if (!Request.Link)
      return;
    if (!Limit.allows(BootClock::now())) {
      if (Limit.held() == 0)
        LOG4CPLUS_INFO(logOf("run"), LogFields("starts held back")
                                         .add("task", Order.Task)
                                         .add("run", Order.Run)
                                         .add("epoch", Request.Term));
      Limit.hold(Run);
      return;
    }
    MaySend = Request.Deadline.count() > 0 && !Liveness.refuses();
    Request.Deadline = startDeadline(Request.Deadline);
    if (MaySend) {
      StartsSent.insert(Run);
      RunOrders.markSent(Run);
    } else if (Lease.isBarring()) {
      RunOrders.postpone(Run);
      return;
    }
  }
  // Without a lease to grant, or a process that listens, the start is not sent.
  // An earlier incarnation of this agent may have sent it, which a stop
  // resolves.
  OrderAnswer Answer{CallOutcome::Unknown, wire::REFUSAL_REASON_UNSPECIFIED,
                     "no lease to grant or worker not listening; not sent"};
  if (MaySend)
    Answer = Request.Link->start(Start, Request.Deadline, Request.Term);
  LOG4CPLUS_INFO(logOf("run"), LogFields("start sent")
                                   .add("task", Order.Task)
                                   .add("run", Order.Run)
                                   .add("epoch", Request.Term)
                                   .add("deadline_ms", Request.Deadline.count())
                                   .add("outcome", outcomeName(Answer.Outcome))
                                   .add("why", Answer.Detail));
  if (Answer.Outcome == CallOutcome::Refused) {
    // The listing may show that the worker has ended, and this start did not
    // contribute to that.
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Request.Incarnation == WorkerName)
      StartsSent.erase(Run);
  }
  if (Answer.Outcome != CallOutcome::Done)
    listRuns(Milliseconds(0));
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Request.Incarnation != WorkerName)
    return;
  const bool IsListed = isRunning(Run);
  if (Answer.Outcome == CallOutcome::Refused && !MayHaveBeenSent) {
    RunOrders.markRefused(Run, Answer.Reason);
  } else if (Answer.Outcome == CallOutcome::Done || IsListed) {
    RunOrders.markStarted(Run);
    if (!IsListed) {
      wire::RunStatus Status;
      Status.set_task(Order.Task);
      Status.set_run(Order.Run);
      Running.push_back(std::move(Status));
    }
  } else {
    RunOrders.markUnknown(Run);
    queueOrders();
  }
  ReportPending = true;
  ReportNeeded.notify_all();
}

void TaskAgent::voidStarts(const std::string &Why) {
  const std::size_t Count = RunOrders.voidStarts();
  if (Count == 0)
    return;
  Stats.count("starts_voided");
  LOG4CPLUS_WARN(logOf("run"), LogFields("starts void")
                                   .add("worker", WorkerName)
                                   .add("starts", Count)
                                   .add("revision", Orders.revision())
                                   .add("epoch", Term)
                                   .add("why", Why));
}

void TaskAgent::sendStop(const QueuedOrder &Order) {
  const RunId Run(Order.Task, Order.Run);
  WorkerCall Request;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Request = prepareCall();
  }
  if (!Request.Link)
    return;
  wire::RunKey Key;
  Key.set_task(Order.Task);
  Key.set_run(Order.Run);
  const OrderAnswer Answer = Request.Link->stop(Key, Request.Term);
  LOG4CPLUS_INFO(logOf("run"), LogFields("stop sent")
                                   .add("task", Order.Task)
                                   .add("run", Order.Run)
                                   .add("epoch", Request.Term)
                                   .add("outcome", outcomeName(Answer.Outcome))
                                   .add("why", Answer.Detail));
  const BootInstant Now = BootClock::now();
  bool IsListed = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Request.Incarnation != WorkerName)
      return;
    IsListed = isRunning(Run);
    if (Answer.Outcome == CallOutcome::Done)
      RunOrders.markStopped(Run, Now);
    else
      RunOrders.markStopFailed(Run, Now);
    if (Answer.Outcome == CallOutcome::Done)
      Lease.noteBarred(Run);
    else
      Lease.noteBarFailed(Run);
    // Starts that waited for the last bar can be sent.
    if (!Lease.isBarring())
      queueOrders();
  }
  // A run that exists reports its end; one that does not is resolved by the
  // next listing.
  if (Answer.Outcome == CallOutcome::Done && !IsListed)
    listRuns(Milliseconds(0));
}

void TaskAgent::queueHeldStarts() {
  for (const auto &[Task, Run] : Limit.release(BootClock::now()))
    if (!Queue.tryPush({false, Task, Run}))
      Limit.hold({Task, Run});
}

Milliseconds TaskAgent::startDeadline(Milliseconds LeaseDeadline) const {
  if (Limit.until() == BootInstant::max() || WorkerClockAt == BootInstant{})
    return LeaseDeadline;
  const auto Left = double((Limit.until() - WorkerClockAt).count());
  return std::min(LeaseDeadline,
                  WorkerClock + Milliseconds(static_cast<std::int64_t>(
                                    Left * SlowestClockRate)));
}

bool TaskAgent::hasListedEnd(const RunId &Run) const {
  return std::any_of(Ends.begin(), Ends.end(), [&](const wire::RunEnd &End) {
    return End.task() == Run.first && End.run() == Run.second;
  });
}

bool TaskAgent::isRunning(const RunId &Run) const {
  return std::any_of(
      Running.begin(), Running.end(), [&](const wire::RunStatus &Status) {
        return Status.task() == Run.first && Status.run() == Run.second;
      });
}

} // namespace baobabcove
