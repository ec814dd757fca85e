#include "tasks/agent/WorkerCandidates.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <arpa/inet.h>

namespace baobabcove {

namespace {

/// Whether two heartbeats announce the same worker. Another writer may name the
/// incarnation of a real worker with a service or an address that is not its
/// own.
bool announceTheSame(const WorkerHeartbeat &One, const WorkerHeartbeat &Other) {
  return One.Id == Other.Id && One.StartedAtMs == Other.StartedAtMs &&
         One.Service == Other.Service && One.Address == Other.Address;
}

bool isPort(const std::string &Text) {
  constexpr std::size_t MaxDigits = 5;
  if (Text.empty() || Text.size() > MaxDigits ||
      !std::all_of(Text.begin(), Text.end(),
                   [](char Digit) { return Digit >= '0' && Digit <= '9'; }))
    return false;
  const unsigned long Port = std::stoul(Text);
  return Port > 0 && Port <= UINT16_MAX;
}

} // namespace

void WorkerCandidates::add(const WorkerHeartbeat &Heartbeat, BootInstant Now) {
  const auto Known = find(Heartbeat);
  if (Known == Candidates.end()) {
    if (Candidates.size() == MaxCandidates)
      Candidates.erase(leastLikely());
    Candidates.push_back({Heartbeat, Now, nullptr, ""});
    return;
  }
  if (Heartbeat.Sequence <= Known->Heartbeat.Sequence)
    return;
  Known->Heartbeat = Heartbeat;
  Known->HeardAt = Now;
}

WorkerCandidate WorkerCandidates::take(const WorkerCandidate &Candidate) {
  WorkerCandidate Newest = Candidate;
  const auto Known = find(Candidate.Heartbeat);
  if (Known == Candidates.end())
    return Newest;
  Newest.Heartbeat = Known->Heartbeat;
  Newest.HeardAt = Known->HeardAt;
  Candidates.erase(Known);
  return Newest;
}

void WorkerCandidates::applyServices(const wire::TaskOrders &Answer) {
  if (!Answer.has_services()) {
    AreServicesKnown = true;
    Services.reset();
    return;
  }
  // A coordinator without a configuration says nothing about the services.
  if (!Answer.services().known())
    return;
  AreServicesKnown = true;
  Services.emplace();
  for (const std::string &Name : Answer.services().names())
    Services->insert(ServiceName(Name));
}

std::vector<WorkerCandidate> WorkerCandidates::due(BootInstant Now) {
  Candidates.erase(std::remove_if(Candidates.begin(), Candidates.end(),
                                  [&](const WorkerCandidate &Each) {
                                    return Now - Each.HeardAt > Timeout;
                                  }),
                   Candidates.end());
  std::vector<WorkerCandidate> Due;
  std::copy_if(Candidates.begin(), Candidates.end(), std::back_inserter(Due),
               [&](const WorkerCandidate &Each) {
                 return names(Each.Heartbeat.Service);
               });
  return Due;
}

void WorkerCandidates::noteCall(const WorkerCandidate &Candidate) {
  const auto Known = find(Candidate.Heartbeat);
  if (Known == Candidates.end())
    return;
  Known->Link = Candidate.Link;
  Known->Doubt = Candidate.Doubt;
}

std::vector<WorkerCandidate>::iterator WorkerCandidates::leastLikely() {
  return std::min_element(
      Candidates.begin(), Candidates.end(),
      [this](const WorkerCandidate &One, const WorkerCandidate &Other) {
        const auto Likelihood = [this](const WorkerCandidate &Each) {
          return std::make_pair(names(Each.Heartbeat.Service) &&
                                    Each.Doubt.empty(),
                                Each.HeardAt);
        };
        return Likelihood(One) < Likelihood(Other);
      });
}

std::vector<WorkerCandidate>::iterator
WorkerCandidates::find(const WorkerHeartbeat &Heartbeat) {
  return std::find_if(Candidates.begin(), Candidates.end(),
                      [&](const WorkerCandidate &Each) {
                        return announceTheSame(Each.Heartbeat, Heartbeat);
                      });
}

bool WorkerCandidates::names(const ServiceName &Service) const {
  return AreServicesKnown && (!Services || Services->count(Service));
}

bool isOnHost(const std::string &Address, const std::string &Host) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos || !isPort(Address.substr(Colon + 1)))
    return false;
  in_addr Named{};
  in_addr Own{};
  return ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Named) == 1 &&
         ::inet_pton(AF_INET, Host.c_str(), &Own) == 1 &&
         Named.s_addr == Own.s_addr;
}

} // namespace baobabcove
