#include "coordinator/LossJudge.h"

namespace baobabcove {

void LossJudge::begin(const std::set<std::string> &Known, Instant Now) {
  Began = Now;
  Entries.clear();
  for (const std::string &Node : Known)
    Entries[Node].HeardAt = Now - Times.EntryFresh - Milliseconds(1);
}

void LossJudge::hearEntry(const wire::Heartbeat &Beat, Instant Now) {
  if (Beat.leaving()) {
    Entries.erase(Beat.node());
    return;
  }
  EntryView &View = Entries[Beat.node()];
  View.HeardAt = Now;
  View.Workers.clear();
  for (const auto &Heard : Beat.heard_workers())
    View.Workers[Heard.node()] = Now - Milliseconds(Heard.age_ms());
}

bool LossJudge::isGone(const std::string &Worker, Instant LastHeard,
                       Instant Now) const {
  if (Now - Began < Times.Silence || Now - LastHeard < Times.Silence)
    return false;
  for (const auto &[Node, View] : Entries) {
    if (Now - View.HeardAt > Times.EntryFresh)
      return false;
    const auto Heard = View.Workers.find(Worker);
    if (Heard != View.Workers.end() && Now - Heard->second < Times.Silence)
      return false;
  }
  return true;
}

std::vector<std::string> LossJudge::expired(Instant Now) const {
  std::vector<std::string> Result;
  for (const auto &[Node, View] : Entries)
    if (Now - View.HeardAt > Times.Autonomy + Times.Silence)
      Result.push_back(Node);
  return Result;
}

} // namespace baobabcove
