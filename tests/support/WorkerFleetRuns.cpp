/// \file
/// The part of WorkerFleet that moves time on: runs, gangs, and waits of jobs.

#include "WorkerFleet.h"

#include <algorithm>

namespace baobabcove::testing {

namespace {

constexpr Milliseconds GangTimeout{4000};
constexpr Milliseconds FailsAfter{80};
/// Time until workers in other regions hear of the end of a gang's member.
constexpr Milliseconds GangNewsDelay{12};
/// The users' bounds: a job may have nothing running for this long, once no
/// fault has been near for CalmAfter.
constexpr Milliseconds MaxIdleWait{3000};
constexpr Milliseconds CalmAfter{4000};

} // namespace

void WorkerFleet::end(Worker &At, const std::string &Task,
                      const std::string &How) {
  // Task may be the key of the run, which stays valid with the extracted node.
  const auto Ended = At.Running.extract(Task);
  const std::uint64_t Number = Ended.mapped().Number;
  const bool IsGang = Ended.mapped().GangSize > 1;
  End &Kept = At.Ends.emplace_back(
      End{++At.LastEnd, Task, Number, How, IsGang, 0, false});
  std::uint64_t &Bar = At.Barred[Task];
  Bar = std::max(Bar, Number);
  if (How == "done") {
    Jobs[jobOf(Task)].Done.insert(Task);
    Kept.At = Judge.noteDone({Task, Number, At.Ip, IsGang, false});
  } else {
    Judge.note(How + " " + Task + " run " + std::to_string(Number) + " on " +
               At.Ip);
    if (How == "failed")
      Kept.At = Attempts.noteFailed({Task, Number, At.Ip, IsGang, false});
  }
  if (IsGang && How != "done" && How != "broken")
    BrokenGangs.push_back(
        {monotonicNow() + GangNewsDelay, stepOf(Task), Number});
  Changed.notify_all();
}

void WorkerFleet::endGang(const std::string &Step, std::uint64_t Number,
                          const std::string &How) {
  for (const auto &At : Workers) {
    std::vector<std::string> Members;
    for (const auto &[Task, Each] : At->Running)
      if (stepOf(Task) == Step && Each.Number == Number)
        Members.push_back(Task);
    // The end of one member may have ended the others.
    for (const std::string &Member : Members)
      if (At->Running.count(Member))
        end(*At, Member, How);
  }
}

void WorkerFleet::breakGangs() {
  const Instant Now = monotonicNow();
  for (; !BrokenGangs.empty() && BrokenGangs.front().Due <= Now;
       BrokenGangs.pop_front())
    endGang(BrokenGangs.front().Step, BrokenGangs.front().Run, "broken");
}

std::map<std::string, std::vector<std::size_t>> WorkerFleet::gangs() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::map<std::string, std::vector<std::size_t>> Found;
  std::map<std::string, std::size_t> Missing;
  for (std::size_t W = 0; W < Workers.size(); ++W)
    for (const auto &[Task, Each] : Workers[W]->Running) {
      if (Each.GangSize == 1)
        continue;
      const std::string Id = jobOf(Task);
      --Missing.try_emplace(Id, Each.GangSize).first->second;
      if (std::vector<std::size_t> &Known = Found[Id];
          Known.empty() || Known.back() != W)
        Known.push_back(W);
    }
  for (const auto &[Id, Count] : Missing)
    if (Count > 0)
      Found.erase(Id);
  return Found;
}

std::size_t WorkerFleet::failGang(const std::string &Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<std::pair<Worker *, std::string>> Members;
  std::size_t GangSize = 0;
  for (const auto &At : Workers)
    for (const auto &[Task, Each] : At->Running)
      if (Each.GangSize > 1 && jobOf(Task) == Id) {
        Members.emplace_back(At.get(), Task);
        GangSize = Each.GangSize;
      }
  if (Members.size() != GangSize)
    return 0;
  for (const auto &[At, Task] : Members)
    end(*At, Task, "failed");
  return GangSize;
}

void WorkerFleet::endAll(Worker &At, const std::string &How) {
  while (!At.Running.empty())
    end(At, At.Running.begin()->first, How);
}

void WorkerFleet::lapse(Worker &At) {
  endAll(At, "lapsed");
  for (End &Each : At.Ends)
    Each.HasLapsed = true;
}

void WorkerFleet::checkRuns() {
  std::vector<SeenRun> Seen;
  for (const auto &At : Workers)
    for (const auto &[Task, Each] : At->Running)
      Seen.push_back(
          {Task, Each.Number, At->Ip, Each.GangSize > 1, Each.IsLate});
  Judge.checkOverlaps(Seen);
}

void WorkerFleet::advance(Milliseconds Passed) {
  const Instant Now = monotonicNow();
  breakGangs();
  for (const auto &At : Workers) {
    if (!At->IsUp && !At->IsClosing && Now >= At->UpAgain)
      comeBack(*At);
    carryOutLateCalls(*At);
    if (At->LeaseUntil < Now)
      lapse(*At);
    std::vector<std::pair<std::string, std::string>> Ended;
    for (auto &[Task, Each] : At->Running) {
      if (At->Now == Mode::Fails && Now - Each.Since > FailsAfter)
        Ended.emplace_back(Task, "failed");
      else if (Each.GangSize == 1 && At->Now != Mode::Stalls)
        Each.DoneMs += Passed.count();
      if (Each.GangSize == 1 && Each.DoneMs >= Each.WorkMs)
        Ended.emplace_back(Task, "done");
    }
    for (const auto &[Task, How] : Ended)
      if (At->Running.count(Task))
        end(*At, Task, How);
  }
  advanceGangs(Passed);
}

void WorkerFleet::advanceGangs(Milliseconds Passed) {
  const Instant Now = monotonicNow();
  struct Gang {
    std::vector<Run *> Members;
    bool IsStalled = false;
    Instant Oldest = Instant::max();
  };
  std::map<std::pair<std::string, std::uint64_t>, Gang> Gangs;
  for (const auto &At : Workers)
    for (auto &[Task, Each] : At->Running)
      if (Each.GangSize > 1) {
        Gang &Known = Gangs[{stepOf(Task), Each.Number}];
        Known.Members.push_back(&Each);
        Known.IsStalled |= At->Now == Mode::Stalls;
        Known.Oldest = std::min(Known.Oldest, Each.Since);
      }
  for (const auto &[Name, Known] : Gangs) {
    const bool IsWhole =
        Known.Members.size() == Known.Members.front()->GangSize;
    if (!IsWhole && Known.Members.front()->DoneMs == 0 &&
        Now - Known.Oldest > GangTimeout) {
      endGang(Name.first, Name.second, "alone");
      continue;
    }
    if (!IsWhole || Known.IsStalled)
      continue;
    for (Run *Member : Known.Members)
      Member->DoneMs += Passed.count();
    if (Known.Members.front()->DoneMs >= Known.Members.front()->WorkMs)
      endGang(Name.first, Name.second, "done");
  }
}

bool WorkerFleet::isHalfUsed() const {
  std::int64_t Memory = 0;
  std::int64_t Used = 0;
  for (const auto &At : Workers)
    for (const auto &[Task, Each] : At->Running) {
      Memory += Each.MemoryMb;
      Used += Each.Accelerators;
    }
  const auto Count = std::int64_t(Workers.size());
  return 2 * Memory >= Count * MemoryMb || 2 * Used >= Count * Accelerators;
}

bool WorkerFleet::isRoomTwiceOver(const FleetJob &Job) const {
  std::size_t Places = 0;
  for (const auto &At : Workers) {
    if (!At->IsUp || At->IsDraining || At->Now != Mode::Sound)
      continue;
    for (std::int64_t Tasks = 1;
         hasRoom(*At, Tasks * Job.MemoryMb, Tasks * Job.Accelerators) &&
         Tasks <= Accelerators;
         ++Tasks)
      ++Places;
  }
  return Places >= 2 * (Job.IsGang ? Job.Tasks : 1);
}

std::set<std::string> WorkerFleet::jobsRunningSince(Instant Time) const {
  std::set<std::string> Found;
  for (const auto &At : Workers)
    for (const auto &[Task, Each] : At->Running)
      if (Each.Since < Time)
        Found.insert(jobOf(Task));
  return Found;
}

bool WorkerFleet::isCalmAt(Instant Time) const {
  return Time - LastFault > CalmAfter;
}

void WorkerFleet::checkWaits() {
  const Instant Now = monotonicNow();
  const bool IsCalm = isCalmAt(Now) && !isHalfUsed();
  std::set<std::string> Active;
  for (const auto &At : Workers)
    for (const auto &[Task, Each] : At->Running)
      Active.insert(jobOf(Task));
  for (auto &[Id, Known] : Jobs) {
    if (!IsCalm || Known.Done.size() >= Known.Job.allTasks() ||
        Active.count(Id) || Known.Job.Tasks == 0 || Attempts.hasFailed(Id) ||
        !isRoomTwiceOver(Known.Job)) {
      Known.IdleSince = Now;
      continue;
    }
    if (Known.IdleSince == Instant{})
      Known.IdleSince = Now;
    LongestWait = std::max(LongestWait, Now - Known.IdleSince);
    if (Now - Known.IdleSince > MaxIdleWait && !Known.IsReported) {
      Known.IsReported = true;
      Judge.report(
          "LOST: job " + Id + " of " + std::to_string(Known.Job.Tasks) +
          " tasks has nothing running although there is room twice over");
    }
  }
}

} // namespace baobabcove::testing
