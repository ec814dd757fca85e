#include "coordinator/WorkerLossDetector.h"

namespace baobabcove {

void WorkerLossDetector::reset(const std::set<std::string> &Registered,
                               Instant Now) {
  ResetAt = Now;
  Entries.clear();
  for (const std::string &Node : Registered)
    Entries[Node].LastHeartbeatAt =
        Now - Timeouts.EntryTimeout - Milliseconds(1);
}

void WorkerLossDetector::entryHeartbeat(const wire::Heartbeat &Heartbeat,
                                        Instant Now) {
  if (Heartbeat.leaving()) {
    Entries.erase(Heartbeat.node());
    return;
  }
  EntryState &Entry = Entries[Heartbeat.node()];
  Entry.LastHeartbeatAt = Now;
  Entry.Workers.clear();
  for (const auto &Reported : Heartbeat.heard_workers())
    Entry.Workers[Reported.node()] = Now - Milliseconds(Reported.age_ms());
}

bool WorkerLossDetector::isLost(const std::string &Worker,
                                Instant WorkerHeartbeatAt, Instant Now) const {
  if (Now - ResetAt < Timeouts.WorkerTimeout ||
      Now - WorkerHeartbeatAt < Timeouts.WorkerTimeout)
    return false;
  for (const auto &[Node, Entry] : Entries) {
    if (Now - Entry.LastHeartbeatAt > Timeouts.EntryTimeout)
      return false;
    const auto Reported = Entry.Workers.find(Worker);
    if (Reported != Entry.Workers.end() &&
        Now - Reported->second < Timeouts.WorkerTimeout)
      return false;
  }
  return true;
}

std::vector<std::string> WorkerLossDetector::expiredEntries(Instant Now) const {
  std::vector<std::string> Result;
  for (const auto &[Node, Entry] : Entries)
    if (Now - Entry.LastHeartbeatAt >
        Timeouts.AutonomyLimit + Timeouts.WorkerTimeout)
      Result.push_back(Node);
  return Result;
}

} // namespace baobabcove
