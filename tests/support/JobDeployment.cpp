#include "JobDeployment.h"

#include <set>

namespace baobabcove::testing {

namespace {

/// Longest time for which a gang may run incompletely: one gang lease, and the
/// time to stop the remaining parts after it has expired.
constexpr std::int64_t MaxPartialRunMs = 7500;

} // namespace

std::string gangSpec(int Tasks, int Accelerators, int WorkMs, bool Idempotent,
                     const std::string &More) {
  return "{\"tasks\":" + std::to_string(Tasks) +
         ",\"accelerators_per_task\":" + std::to_string(Accelerators) +
         ",\"idempotent\":" + (Idempotent ? "true" : "false") +
         ",\"payload\":\"work_ms=" + std::to_string(WorkMs) + "\"" + More + "}";
}

std::string JobDeployment::submit(int Entry, int Tasks, int WorkMs,
                                  bool Idempotent) {
  std::string Id = Cluster.submit(
      Entry, gangSpec(Tasks, AcceleratorsPerWorker, WorkMs, Idempotent));
  if (!Id.empty())
    AcceleratorsOfJob[Id] =
        static_cast<std::uint32_t>(Tasks) * AcceleratorsPerWorker;
  return Id;
}

std::vector<PartRun> JobDeployment::partRuns() const {
  std::vector<PartRun> All;
  for (int I = 0; I < Options.Workers; ++I)
    for (const PartRun &Part :
         parsePartRuns(Cluster.journal("worker-" + std::to_string(I))))
      All.push_back(Part);
  return All;
}

std::string JobDeployment::firstViolation() const {
  const auto Violations =
      findGangViolations(partRuns(), AcceleratorsOfJob, MaxPartialRunMs);
  return Violations.empty() ? std::string() : Violations[0];
}

std::size_t JobDeployment::countAttempts(const std::string &Id) const {
  std::set<std::uint64_t> Attempts;
  for (const PartRun &Part : partRuns())
    if (Part.Job == Id)
      Attempts.insert(Part.Attempt);
  return Attempts.size();
}

} // namespace baobabcove::testing
