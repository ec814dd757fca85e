#include "JobStateJudge.h"

#include <algorithm>

namespace baobabcove::testing {

void JobStateJudge::noteSubmitted(const std::string &Id,
                                  const std::string &Queue) {
  Jobs[Id].Queue = Queue;
}

void JobStateJudge::noteAccepted(const std::string &Id, Instant At) {
  Jobs[Id].AcceptedAt = At;
}

void JobStateJudge::noteBegun(const std::string &Id) {
  Jobs[Id].HasBegun = true;
}

void JobStateJudge::noteAcknowledged(const std::string &Id, Instant At) {
  Instant &First = Jobs[Id].AcknowledgedAt;
  First = std::min(First, At);
}

void JobStateJudge::noteState(const Question &Asked, const std::string &Id,
                              const std::string &State, bool IsCalm,
                              bool HasRun) {
  Job &Known = Jobs[Id];
  if (State == "running") {
    ToldRunning[Asked.Entry].insert(Id);
    if (!Known.HasBegun)
      Reports.report("MIXED: " + Asked.Entry + " tells job " + Id +
                     " as running, and no worker has begun it");
    return;
  }
  if (State != "pending") {
    Known.HasEnded = true;
    return;
  }
  if (ToldRunning[Asked.Entry].count(Id))
    Reports.report("MIXED: " + Asked.Entry + " tells job " + Id +
                   " as pending, which it has told as running");
  if (IsCalm && (HasRun || Known.AcknowledgedAt < Asked.AskedAt - VisibleAfter))
    Reports.report("MIXED: " + Asked.Entry + " tells job " + Id +
                   " as pending, and a worker began it over 3 s ago");
}

void JobStateJudge::noteWaiting(const Question &Asked, const std::string &Queue,
                                std::size_t Count, bool IsCalm,
                                const std::set<std::string> &Running) {
  std::size_t Owed = 0;
  std::size_t Most = 0;
  for (const auto &[Id, Known] : Jobs) {
    if (Known.Queue != Queue)
      continue;
    if (!Known.HasBegun && !Known.HasEnded &&
        Known.AcceptedAt < Asked.AskedAt - VisibleAfter - MaxCountAge)
      ++Owed;
    if (!Running.count(Id) &&
        Known.AcknowledgedAt >= Asked.AskedAt - MaxCountAge)
      ++Most;
  }
  const std::string Told = Asked.Entry + " tells " + std::to_string(Count) +
                           " waiting jobs of " + Queue + ", and ";
  if (Asked.IsInTouch) {
    MostOwed = std::max(MostOwed, Owed);
    if (2 * Count < Owed)
      Reports.report("MIXED: " + Told + std::to_string(Owed) +
                     " accepted over 5 s ago have not begun");
  }
  if (IsCalm && Count > Most)
    Reports.report("MIXED: " + Told + "at most " + std::to_string(Most) +
                   " had not begun 2 s ago");
}

} // namespace baobabcove::testing
