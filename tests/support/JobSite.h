/// \file
/// A deployment with workers, and the jobs submitted to it.

#ifndef BAOBABCOVE_TESTS_SUPPORT_JOBSITE_H
#define BAOBABCOVE_TESTS_SUPPORT_JOBSITE_H

#include "Deployment.h"
#include "GangJournal.h"

#include <map>
#include <string>

namespace baobabcove::testing {

/// The JSON of a job for stand-in workers.
std::string gangSpec(int Tasks, int Accelerators, int WorkMs,
                     bool Idempotent = true, const std::string &More = "");

/// Judges the jobs of a deployment by the workers' journals.
class JobSite {
public:
  explicit JobSite(const DeploymentPlan &Plan) : Plan(Plan), Site(Plan) {}

  static constexpr std::uint32_t WorkerSize = 8;

  /// Submits a gang of whole workers.
  std::string submit(int Entry, int Tasks, int WorkMs, bool Idempotent = true);

  std::vector<PartRun> parts() const;

  /// The first rule that was broken, or an empty text.
  std::string broken() const;

  /// Attempts of a job that any worker began.
  std::size_t attemptsRun(const std::string &Id) const;

  const DeploymentPlan Plan;
  Deployment Site;
  std::map<std::string, std::uint32_t> Sizes;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_JOBSITE_H
