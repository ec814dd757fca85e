/// \file
/// The part of the agent that carries orders to its worker.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/TaskAgent.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// How long a thread waits for an order before it looks whether to stop.
constexpr Milliseconds QueueLook{200};

const char *nameOf(CallOutcome Outcome) {
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
    const auto Order = Queue.pop(QueueLook);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
    }
    if (Order)
      carryOut(*Order);
  }
}

void TaskAgent::carryOut(const Job &Order) {
  if (Order.Stop)
    carryOutStop(Order);
  else
    carryOutStart(Order);
}

void TaskAgent::carryOutStart(const Job &Order) {
  const RunId Run(Order.Task, Order.Run);
  WorkerStart Start;
  bool MayHaveBeenSent = true;
  Call Of;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Ledger.wantsStart(Run))
      return;
    for (const wire::StartOrder &Wanted : Orders.starts())
      if (Wanted.task() == Order.Task && Wanted.run() == Order.Run) {
        Start = {Wanted.task(), Wanted.run(), Wanted.payload(),
                 Wanted.checkpoint()};
        MayHaveBeenSent = Wanted.may_have_been_sent();
      }
    if (Start.Task.empty())
      return;
  }
  if (!knowsClock())
    list(Milliseconds(0));
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Of = prepareCall();
  }
  if (!Of.Link)
    return;
  // Without a lease to give the start is not sent; whether an earlier life of
  // this agent has sent it is settled by a stop.
  OrderAnswer Answer{CallOutcome::Unknown, wire::REFUSAL_REASON_UNSPECIFIED,
                     "no lease to give"};
  if (Of.Deadline.count() > 0)
    Answer = Of.Link->start(Start, Of.Deadline, Of.Term);
  LOG4CPLUS_INFO(logOf("run"), LogFields("start sent")
                                   .add("task", Order.Task)
                                   .add("run", Order.Run)
                                   .add("epoch", Of.Term)
                                   .add("deadline_ms", Of.Deadline.count())
                                   .add("outcome", nameOf(Answer.Outcome))
                                   .add("why", Answer.Detail));
  if (Answer.Outcome != CallOutcome::Done)
    list(Milliseconds(0));
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Of.Life != WorkerName)
    return;
  const bool Runs = isRunning(Run);
  if (Answer.Outcome == CallOutcome::Refused && !MayHaveBeenSent) {
    Ledger.refused(Run, Answer.Reason);
  } else if (Answer.Outcome == CallOutcome::Done || Runs) {
    Ledger.started(Run);
    if (!Runs) {
      wire::RunStatus Status;
      Status.set_task(Order.Task);
      Status.set_run(Order.Run);
      Running.push_back(std::move(Status));
    }
  } else {
    Ledger.doubt(Run);
    if (!Queue.tryPush({true, Order.Task, Order.Run}))
      Ledger.stopFailed(Run, BootClock::now());
  }
  HasNews = true;
  News.notify_all();
}

void TaskAgent::carryOutStop(const Job &Order) {
  const RunId Run(Order.Task, Order.Run);
  Call Of;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Of = prepareCall();
  }
  if (!Of.Link)
    return;
  wire::RunKey Key;
  Key.set_task(Order.Task);
  Key.set_run(Order.Run);
  const OrderAnswer Answer = Of.Link->stop(Key, Of.Term);
  LOG4CPLUS_INFO(logOf("run"), LogFields("stop sent")
                                   .add("task", Order.Task)
                                   .add("run", Order.Run)
                                   .add("epoch", Of.Term)
                                   .add("outcome", nameOf(Answer.Outcome))
                                   .add("why", Answer.Detail));
  const BootInstant Now = BootClock::now();
  bool Runs = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Of.Life != WorkerName)
      return;
    Runs = isRunning(Run);
    if (Answer.Outcome == CallOutcome::Done)
      Ledger.stopped(Run, Now);
    else
      Ledger.stopFailed(Run, Now);
  }
  // A run that is there tells its end; one that is not is over with the next
  // listing.
  if (Answer.Outcome == CallOutcome::Done && !Runs)
    list(Milliseconds(0));
}

bool TaskAgent::isRunning(const RunId &Run) const {
  return std::any_of(
      Running.begin(), Running.end(), [&](const wire::RunStatus &Status) {
        return Status.task() == Run.first && Status.run() == Run.second;
      });
}

} // namespace baobabcove
