#include "membership/Members.h"

namespace baobabcove {

bool Members::hear(const wire::Heartbeat &Heartbeat, Instant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  MemberRecord &Known = Table[Heartbeat.node()];
  if (Heartbeat.incarnation() < Known.Beat.incarnation())
    return false;
  Known.Beat = Heartbeat;
  Known.HeardAt = Now;
  return true;
}

std::vector<MemberRecord>
Members::alive(wire::NodeKind Kind, Milliseconds Timeout, Instant Now) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<MemberRecord> Result;
  for (const auto &[Name, Known] : Table)
    if (Known.Beat.kind() == Kind && Now - Known.HeardAt <= Timeout)
      Result.push_back(Known);
  return Result;
}

bool Members::find(const NodeId &Node, MemberRecord &Record) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Table.find(Node.str());
  if (Found == Table.end())
    return false;
  Record = Found->second;
  return true;
}

std::vector<MemberRecord> Members::all() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<MemberRecord> Result;
  for (const auto &[Name, Known] : Table)
    Result.push_back(Known);
  return Result;
}

void Members::remove(const NodeId &Node) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Table.erase(Node.str());
}

void Members::forgetSilent(Milliseconds Timeout, Instant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (auto It = Table.begin(); It != Table.end();) {
    if (Now - It->second.HeardAt > Timeout)
      It = Table.erase(It);
    else
      ++It;
  }
}

} // namespace baobabcove
