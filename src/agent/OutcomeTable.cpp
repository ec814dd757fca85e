#include "agent/OutcomeTable.h"

namespace baobabcove {

wire::ExecuteReply executeRefusal(ResultCode Code, const std::string &Detail) {
  wire::ExecuteReply Reply;
  Reply.set_code(static_cast<std::uint32_t>(Code));
  Reply.set_detail(Detail);
  return Reply;
}

OutcomeTable::OutcomeTable(std::size_t MaxEntries, std::size_t MaxBytes)
    : MaxEntries(MaxEntries), MaxBytes(MaxBytes), Began(monotonicNow()) {}

std::uint64_t OutcomeTable::period(Instant Now) const {
  return 1 + static_cast<std::uint64_t>((Now - Began) / Period);
}

OutcomeTable::Key OutcomeTable::keyOf(const wire::ExecuteRequest &Request) {
  return {Request.workspace(), Request.request_id()};
}

void OutcomeTable::drop(const Key &Which) {
  const auto Found = Table.find(Which);
  if (Found == Table.end())
    return;
  Bytes -= Found->second.Reply.body().size();
  Table.erase(Found);
}

bool OutcomeTable::makeRoom(Instant Now) {
  const std::uint64_t Present = period(Now);
  while (!Order.empty()) {
    const auto Found = Table.find(Order.front());
    const bool Old =
        Found == Table.end() || Found->second.Period + KeptPeriods < Present;
    if (!Old)
      break;
    drop(Order.front());
    Order.pop_front();
  }
  return Table.size() < MaxEntries && Bytes < MaxBytes;
}

OutcomeTable::Claim OutcomeTable::begin(const wire::ExecuteRequest &Request,
                                        const std::string &Digest,
                                        Instant Deadline, Instant Now,
                                        wire::ExecuteReply &Reply) {
  std::unique_lock<std::mutex> Lock(Mutex);
  const Key Wanted = keyOf(Request);
  const auto NotRunning = [&] {
    const auto Found = Table.find(Wanted);
    return Found == Table.end() || Found->second.Now != State::Running;
  };
  if (!Ended.wait_until(Lock, Deadline, NotRunning)) {
    Reply = executeRefusal(ResultCode::DeadlineAfterStart,
                           "The request still runs.");
    return Claim::Known;
  }
  const auto Found = Table.find(Wanted);
  if (Found != Table.end()) {
    if (!Request.ask_only() && Found->second.Now == State::Done &&
        Found->second.Digest != Digest)
      Reply = executeRefusal(ResultCode::KeyReused,
                             "The key was used for another request.");
    else
      Reply = Found->second.Reply;
    return Claim::Known;
  }
  if (!makeRoom(Now)) {
    Reply = executeRefusal(ResultCode::OutcomeTableFull,
                           "Too many recent outcomes are kept.");
    // A delivery that only asks cannot be told "not run" when the bar cannot
    // be kept: the first delivery may still be under way.
    if (Request.ask_only())
      Reply = executeRefusal(ResultCode::OutcomeUnknown,
                             "The agent cannot keep the bar.");
    return Claim::Known;
  }
  Entry &Fresh = Table[Wanted];
  Fresh.Period = period(Now);
  Fresh.Digest = Digest;
  if (!Request.ask_only())
    return Claim::Run;
  Fresh.Now = State::Barred;
  Fresh.Reply = executeRefusal(ResultCode::Withdrawn,
                               "It had not arrived and will not run.");
  Order.push_back(Wanted);
  Reply = Fresh.Reply;
  return Claim::Known;
}

void OutcomeTable::finish(const wire::ExecuteRequest &Request,
                          const wire::ExecuteReply &Reply, Instant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Entry &Of = Table[keyOf(Request)];
  Of.Now = State::Done;
  Of.Reply = Reply;
  Of.Period = period(Now);
  Bytes += Reply.body().size();
  Order.push_back(keyOf(Request));
  Ended.notify_all();
}

void OutcomeTable::abandon(const wire::ExecuteRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Table.erase(keyOf(Request));
  Ended.notify_all();
}

std::size_t OutcomeTable::size() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Table.size();
}

std::size_t OutcomeTable::bytes() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Bytes;
}

} // namespace baobabcove
