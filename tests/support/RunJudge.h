#ifndef BAOBABCOVE_TESTS_SUPPORT_RUNJUDGE_H
#define BAOBABCOVE_TESTS_SUPPORT_RUNJUDGE_H

#include "baobabcove/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace baobabcove::testing {

/// A run as the workers see it.
struct SeenRun {
  std::string Task;
  std::uint64_t Number = 0;
  std::string WorkerIp;
  bool IsGang = false;
  /// The worker carried the start out late.
  bool IsLate = false;
};

/// Judges from what the workers see alone whether a task runs twice, and keeps
/// the events that lead there. Not thread-safe.
class RunJudge {
public:
  /// Position of an event in the order of all events.
  using EventNumber = std::uint64_t;

  /// A worker has begun a run.
  void noteStart(const SeenRun &Run);
  /// A run has ended as done. Returns the number of the event.
  EventNumber noteDone(const SeenRun &Run);
  /// The end of a done run was acknowledged while the lease of its worker had
  /// not lapsed since. An end that was not done is not reported here.
  void noteAcknowledged(const SeenRun &Run, EventNumber DoneAt);
  /// Compares all runs on workers that are up. Called again and again, so that
  /// a second run is seen however it came to be.
  void checkOverlaps(const std::vector<SeenRun> &Running);

  /// Records an event for the trace of a failure.
  void note(const std::string &Text);
  /// Records a violation.
  void report(const std::string &Violation);

  const std::vector<std::string> &violations() const { return Found; }
  const std::deque<std::string> &events() const { return Events; }
  /// Returns how many events began with each word.
  std::string eventCounts() const;

private:
  struct Start {
    EventNumber At = 0;
    SeenRun Run;
  };

  void judge(const Start &Each, EventNumber DoneAt);

  EventNumber Last = 0;
  std::map<std::string, std::vector<Start>> Starts;
  /// Tasks, and steps of gangs, with the first of their noted ends.
  std::map<std::string, EventNumber> NotedDone;
  /// Tasks that have two runs now, since when.
  std::map<std::string, Instant> Overlaps;
  std::vector<std::string> Found;
  std::deque<std::string> Events;
  std::map<std::string, std::size_t> Counts;
};

/// Returns "JOB.OCCURRENCE.STEP" of a task.
std::string stepOf(const std::string &Task);
std::string jobOf(const std::string &Task);
/// Returns the step of a gang's member, or the name of a single task. The runs
/// of a unit count together.
std::string unitOf(const SeenRun &Run);
std::string textOf(const SeenRun &Run);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_RUNJUDGE_H
