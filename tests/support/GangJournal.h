/// \file
/// Judges from workers' journals whether gangs ran whole and never twice.

#ifndef BAOBABCOVE_TESTS_SUPPORT_GANGJOURNAL_H
#define BAOBABCOVE_TESTS_SUPPORT_GANGJOURNAL_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabcove::testing {

/// One part of one attempt, as a worker's journal has it. Times in ms.
struct PartRun {
  std::string Job;
  std::uint64_t Attempt = 0;
  std::int64_t Start = 0;
  std::int64_t End = INT64_MAX;
  std::uint32_t Accelerators = 0;
  std::string How;
};

/// Reads the whole journal of one worker.
std::vector<PartRun> readParts(const std::vector<std::string> &Lines);

/// What was wrong, one sentence each: attempts of a job that overlap, and
/// parts that ran for longer than \p LeaseMs without their whole gang.
/// \p GangSize gives each job's accelerators.
std::vector<std::string>
gangFaults(const std::vector<PartRun> &Parts,
           const std::map<std::string, std::uint32_t> &GangSize,
           std::int64_t LeaseMs);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_GANGJOURNAL_H
