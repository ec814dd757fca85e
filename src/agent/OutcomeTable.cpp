#include "agent/OutcomeTable.h"

namespace baobabcove {

wire::ExecuteReply executeRefusal(ResultCode Code, const std::string &Detail) {
  wire::ExecuteReply Reply;
  Reply.set_code(static_cast<std::uint32_t>(Code));
  Reply.set_detail(Detail);
  return Reply;
}

OutcomeTable::OutcomeTable(std::size_t MaxEntries, std::size_t MaxBytes)
    : MaxEntries(MaxEntries), MaxBytes(MaxBytes), StartedAt(monotonicNow()) {}

std::uint64_t OutcomeTable::period(Instant Now) const {
  return 1 + static_cast<std::uint64_t>((Now - StartedAt) / Period);
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
  const std::uint64_t CurrentPeriod = period(Now);
  while (!EndOrder.empty()) {
    const auto Found = Table.find(EndOrder.front());
    const bool Old = Found == Table.end() ||
                     Found->second.Period + KeptPeriods < CurrentPeriod;
    if (!Old)
      break;
    drop(EndOrder.front());
    EndOrder.pop_front();
  }
  return Table.size() < MaxEntries && Bytes < MaxBytes;
}

OutcomeTable::Admission OutcomeTable::begin(const wire::ExecuteRequest &Request,
                                            const std::string &Digest,
                                            Instant Deadline, Instant Now,
                                            wire::ExecuteReply &Reply) {
  std::unique_lock<std::mutex> Lock(Mutex);
  const Key RequestKey = keyOf(Request);
  const auto NotRunning = [&] {
    const auto Found = Table.find(RequestKey);
    return Found == Table.end() || Found->second.Status != State::Running;
  };
  if (!EntryEnded.wait_until(Lock, Deadline, NotRunning)) {
    Reply = executeRefusal(ResultCode::DeadlineAfterStart,
                           "The request is still running.");
    return Admission::Replied;
  }
  const auto Found = Table.find(RequestKey);
  if (Found != Table.end()) {
    if (!Request.ask_only() && Found->second.Status == State::Done &&
        Found->second.Digest != Digest)
      Reply = executeRefusal(ResultCode::KeyReused,
                             "The key was used for a different request.");
    else
      Reply = Found->second.Reply;
    return Admission::Replied;
  }
  if (!makeRoom(Now)) {
    Reply = executeRefusal(ResultCode::OutcomeTableFull,
                           "The outcome table is full of recent entries.");
    // Without an entry that withdraws the request, an ask_only delivery must
    // not be answered "not run": the first delivery may still be in flight.
    if (Request.ask_only())
      Reply = executeRefusal(
          ResultCode::OutcomeUnknown,
          "The outcome table has no room to withdraw the request.");
    return Admission::Replied;
  }
  Entry &NewEntry = Table[RequestKey];
  NewEntry.Period = period(Now);
  NewEntry.Digest = Digest;
  if (!Request.ask_only())
    return Admission::Run;
  NewEntry.Status = State::Withdrawn;
  NewEntry.Reply = executeRefusal(
      ResultCode::Withdrawn, "The request had not arrived and will not run.");
  EndOrder.push_back(RequestKey);
  Reply = NewEntry.Reply;
  return Admission::Replied;
}

void OutcomeTable::finish(const wire::ExecuteRequest &Request,
                          const wire::ExecuteReply &Reply, Instant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Entry &Finished = Table[keyOf(Request)];
  Finished.Status = State::Done;
  Finished.Reply = Reply;
  Finished.Period = period(Now);
  Bytes += Reply.body().size();
  EndOrder.push_back(keyOf(Request));
  EntryEnded.notify_all();
}

void OutcomeTable::abandon(const wire::ExecuteRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Table.erase(keyOf(Request));
  EntryEnded.notify_all();
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
