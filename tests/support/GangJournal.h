/// \file
/// Checks by the workers' journals that gangs run completely or not at all, and
/// that the attempts of a job do not overlap.

#ifndef BAOBABCOVE_TESTS_SUPPORT_GANGJOURNAL_H
#define BAOBABCOVE_TESTS_SUPPORT_GANGJOURNAL_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabcove::testing {

/// Run of one worker's part of an attempt. Times are in ms of the monotonic
/// clock.
struct PartRun {
  std::string Job;
  std::uint64_t Attempt = 0;
  std::int64_t Start = 0;
  std::int64_t End = INT64_MAX;
  std::uint32_t Accelerators = 0;
  /// How the run ended: the state in the journal, or "killed" with its worker.
  std::string Ending;
};

/// Parses the whole journal of one worker. Runs without an end, which were
/// killed with their worker, end at the worker's last event.
std::vector<PartRun> parsePartRuns(const std::vector<std::string> &Lines);

/// Returns a description of each violation: attempts of a job that overlap, and
/// incomplete gangs that ran for longer than \p MaxPartialRunMs.
/// \p GangAccelerators holds the number of accelerators of each job's gang.
std::vector<std::string>
findGangViolations(const std::vector<PartRun> &Parts,
                   const std::map<std::string, std::uint32_t> &GangAccelerators,
                   std::int64_t MaxPartialRunMs);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_GANGJOURNAL_H
