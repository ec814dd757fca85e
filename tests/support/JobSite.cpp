#include "JobSite.h"

#include <set>

namespace baobabcove::testing {

namespace {

/// A part may outlive its gang by one lease and the time to act on it.
constexpr std::int64_t LeaseMs = 7500;

} // namespace

std::string gangSpec(int Tasks, int Accelerators, int WorkMs, bool Idempotent,
                     const std::string &More) {
  return "{\"tasks\":" + std::to_string(Tasks) +
         ",\"accelerators_per_task\":" + std::to_string(Accelerators) +
         ",\"idempotent\":" + (Idempotent ? "true" : "false") +
         ",\"payload\":\"work_ms=" + std::to_string(WorkMs) + "\"" + More + "}";
}

std::string JobSite::submit(int Entry, int Tasks, int WorkMs, bool Idempotent) {
  std::string Id =
      Site.submit(Entry, gangSpec(Tasks, WorkerSize, WorkMs, Idempotent));
  if (!Id.empty())
    Sizes[Id] = static_cast<std::uint32_t>(Tasks) * WorkerSize;
  return Id;
}

std::vector<PartRun> JobSite::parts() const {
  std::vector<PartRun> All;
  for (int I = 0; I < Plan.Workers; ++I)
    for (const PartRun &Part :
         readParts(Site.journal("worker-" + std::to_string(I))))
      All.push_back(Part);
  return All;
}

std::string JobSite::broken() const {
  const auto Faults = gangFaults(parts(), Sizes, LeaseMs);
  return Faults.empty() ? std::string() : Faults[0];
}

std::size_t JobSite::attemptsRun(const std::string &Id) const {
  std::set<std::uint64_t> Seen;
  for (const PartRun &Part : parts())
    if (Part.Job == Id)
      Seen.insert(Part.Attempt);
  return Seen.size();
}

} // namespace baobabcove::testing
