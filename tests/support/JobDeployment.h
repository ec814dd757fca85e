#ifndef BAOBABCOVE_TESTS_SUPPORT_JOBDEPLOYMENT_H
#define BAOBABCOVE_TESTS_SUPPORT_JOBDEPLOYMENT_H

#include "Deployment.h"
#include "GangJournal.h"

#include <map>
#include <string>

namespace baobabcove::testing {

/// Returns the JSON of a job for stand-in workers. \p More is appended to its
/// fields and begins with a comma.
std::string gangSpec(int Tasks, int Accelerators, int WorkMs,
                     bool Idempotent = true, const std::string &More = "");

/// A deployment with workers, which checks by the workers' journals how the
/// jobs submitted to it ran.
class JobDeployment {
public:
  explicit JobDeployment(const DeploymentOptions &Options)
      : Options(Options), Cluster(Options) {}

  static constexpr std::uint32_t AcceleratorsPerWorker = 8;

  /// Submits a job of \p Tasks tasks, each of which takes a whole worker.
  /// Returns its id, or an empty string when it was not accepted.
  std::string submit(int Entry, int Tasks, int WorkMs, bool Idempotent = true);

  /// Returns the runs in the journals of all workers.
  std::vector<PartRun> partRuns() const;

  /// Returns the first violation that findGangViolations() finds, or an empty
  /// string.
  std::string firstViolation() const;

  /// Returns the number of attempts of a job that any worker started.
  std::size_t countAttempts(const std::string &Id) const;

  const DeploymentOptions Options;
  Deployment Cluster;
  /// Accelerators of each job's gang, by job id.
  std::map<std::string, std::uint32_t> AcceleratorsOfJob;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_JOBDEPLOYMENT_H
