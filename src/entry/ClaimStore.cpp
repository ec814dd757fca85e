#include "entry/ClaimStore.h"

#include "base/Text.h"

#include <charconv>
#include <sstream>

namespace baobabcove {

namespace {

/// Claims made within 1/LeasesPerTtl of the time to live share one lease.
constexpr int LeasesPerTtl = 24;
constexpr const char *TicketPrefix = "ticket~";
constexpr char TicketSeparator = '~';

std::string storeKey(const std::string &Workspace, const std::string &Key) {
  return "claims/" + Workspace + "/" + sha256Hex(Key);
}

bool parseNumber(const std::string &Text, std::uint64_t &Number) {
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number);
  return Read.ec == std::errc() && Read.ptr == End;
}

} // namespace

wire::RequestClaim claimOf(const MemberRecord &Agent) {
  wire::RequestClaim Claim;
  Claim.set_node(Agent.LastHeartbeat.node());
  Claim.set_incarnation(Agent.LastHeartbeat.incarnation());
  Claim.set_period(Agent.LastHeartbeat.minion().outcome_period());
  return Claim;
}

ClaimStore::ClaimStore(Store &StoreClient, std::chrono::seconds Ttl)
    : StoreClient(StoreClient), Ttl(Ttl) {}

Expected<std::int64_t> ClaimStore::currentLease() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Instant Now = monotonicNow();
  if (LeaseId != 0 && Now - LeaseGrantedAt < Ttl / LeasesPerTtl)
    return LeaseId;
  auto Granted = StoreClient.grantLease(Ttl);
  if (!Granted)
    return Granted;
  LeaseId = *Granted;
  LeaseGrantedAt = Now;
  return LeaseId;
}

Expected<std::optional<StoredClaim>>
ClaimStore::find(const std::string &Workspace, const std::string &Key) {
  const auto Entry = StoreClient.read(storeKey(Workspace, Key));
  if (!Entry)
    return tl::unexpected<Error>(Entry.error());
  if (Entry->Revision == 0)
    return std::optional<StoredClaim>();
  StoredClaim Held;
  Held.Revision = Entry->Revision;
  if (!Held.Claim.ParseFromString(Entry->Value))
    return failure(ResultCode::StoreUnavailable,
                   "The stored claim cannot be parsed.");
  return std::optional<StoredClaim>(Held);
}

Expected<StoredClaim> ClaimStore::claim(const std::string &Workspace,
                                        const std::string &Key,
                                        const MemberRecord &Agent,
                                        std::int64_t Revision) {
  StoredClaim NewClaim;
  NewClaim.Claim = claimOf(Agent);
  NewClaim.Claim.set_claim_id(randomName());
  const auto ClaimLease = currentLease();
  if (!ClaimLease)
    return failure(ResultCode::StoreUnavailable, ClaimLease.error().Detail);
  const auto Written =
      StoreClient.swap(storeKey(Workspace, Key), Revision,
                       NewClaim.Claim.SerializeAsString(), *ClaimLease);
  if (Written) {
    NewClaim.Revision = *Written;
    return NewClaim;
  }
  if (Written.error().Code == ResultCode::StoreUnavailable)
    return tl::unexpected<Error>(Written.error());
  // Another claim was written first, or the answer was lost; the store has the
  // claim in force. A write that takes effect later is harmless: it only names
  // the agent that may run the request from then on.
  const auto Current = find(Workspace, Key);
  if (!Current)
    return tl::unexpected<Error>(Current.error());
  if (!*Current)
    return failure(ResultCode::StoreUnavailable, "The claim was not written.");
  return **Current;
}

std::string ClaimStore::makeTicket(const MemberRecord &Agent) {
  std::ostringstream Out;
  Out << TicketPrefix << Agent.LastHeartbeat.node() << TicketSeparator
      << Agent.LastHeartbeat.incarnation() << TicketSeparator
      << Agent.LastHeartbeat.minion().outcome_period() << TicketSeparator
      << randomName();
  return Out.str();
}

std::optional<wire::RequestClaim>
ClaimStore::parseTicket(const std::string &Key) {
  if (Key.rfind(TicketPrefix, 0) != 0)
    return std::nullopt;
  std::istringstream In(Key.substr(std::string(TicketPrefix).size()));
  std::string Node;
  std::string Incarnation;
  std::string Period;
  std::string Name;
  std::getline(In, Node, TicketSeparator);
  std::getline(In, Incarnation, TicketSeparator);
  std::getline(In, Period, TicketSeparator);
  std::getline(In, Name);
  std::uint64_t IncarnationNumber = 0;
  std::uint64_t PeriodNumber = 0;
  if (Node.empty() || Name.empty() ||
      !parseNumber(Incarnation, IncarnationNumber) ||
      !parseNumber(Period, PeriodNumber) || IncarnationNumber == 0)
    return std::nullopt;
  wire::RequestClaim Claim;
  Claim.set_node(Node);
  Claim.set_incarnation(IncarnationNumber);
  Claim.set_period(PeriodNumber);
  return Claim;
}

} // namespace baobabcove
