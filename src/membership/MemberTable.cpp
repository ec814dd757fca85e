#include "membership/MemberTable.h"

namespace baobabcove {

bool MemberTable::update(const wire::Heartbeat &Heartbeat, Instant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  MemberRecord &Known = Table[Heartbeat.node()];
  if (Heartbeat.incarnation() < Known.LastHeartbeat.incarnation())
    return false;
  Known.LastHeartbeat = Heartbeat;
  Known.LastHeartbeatAt = Now;
  return true;
}

std::vector<MemberRecord> MemberTable::alive(wire::NodeKind Kind,
                                             Milliseconds Timeout,
                                             Instant Now) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<MemberRecord> Result;
  for (const auto &[Name, Known] : Table)
    if (Known.LastHeartbeat.kind() == Kind &&
        Now - Known.LastHeartbeatAt <= Timeout)
      Result.push_back(Known);
  return Result;
}

bool MemberTable::find(const NodeId &Node, MemberRecord &Record) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Table.find(Node.str());
  if (Found == Table.end())
    return false;
  Record = Found->second;
  return true;
}

std::vector<MemberRecord> MemberTable::all() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<MemberRecord> Result;
  for (const auto &[Name, Known] : Table)
    Result.push_back(Known);
  return Result;
}

void MemberTable::remove(const NodeId &Node) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Table.erase(Node.str());
}

void MemberTable::removeStale(Milliseconds Timeout, Instant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (auto It = Table.begin(); It != Table.end();) {
    if (Now - It->second.LastHeartbeatAt > Timeout)
      It = Table.erase(It);
    else
      ++It;
  }
}

} // namespace baobabcove
