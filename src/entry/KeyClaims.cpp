#include "entry/KeyClaims.h"

#include "base/Text.h"

#include <charconv>
#include <sstream>

namespace baobabcove {

namespace {

/// Claims made within this share of the time to live hang on one lease.
constexpr int LeasesPerTtl = 24;
constexpr const char *TicketPrefix = "ticket~";
constexpr char TicketSeparator = '~';

std::string storeKey(const std::string &Workspace, const std::string &Key) {
  return "claims/" + Workspace + "/" + sha256Hex(Key);
}

bool readNumber(const std::string &Text, std::uint64_t &Number) {
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number);
  return Read.ec == std::errc() && Read.ptr == End;
}

} // namespace

wire::RequestClaim claimOf(const MemberRecord &To) {
  wire::RequestClaim Claim;
  Claim.set_node(To.Beat.node());
  Claim.set_incarnation(To.Beat.incarnation());
  Claim.set_period(To.Beat.minion().outcome_period());
  return Claim;
}

KeyClaims::KeyClaims(Store &Platform, std::chrono::seconds Ttl)
    : Platform(Platform), Ttl(Ttl) {}

Expected<std::int64_t> KeyClaims::lease() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Instant Now = monotonicNow();
  if (Lease != 0 && Now - LeaseFrom < Ttl / LeasesPerTtl)
    return Lease;
  auto Granted = Platform.grantLease(Ttl);
  if (!Granted)
    return Granted;
  Lease = *Granted;
  LeaseFrom = Now;
  return Lease;
}

Expected<std::optional<HeldClaim>> KeyClaims::find(const std::string &Workspace,
                                                   const std::string &Key) {
  const auto Entry = Platform.read(storeKey(Workspace, Key));
  if (!Entry)
    return tl::unexpected<Error>(Entry.error());
  if (Entry->Revision == 0)
    return std::optional<HeldClaim>();
  HeldClaim Held;
  Held.Revision = Entry->Revision;
  if (!Held.Claim.ParseFromString(Entry->Value))
    return failure(ResultCode::StoreUnavailable, "A claim is unreadable.");
  return std::optional<HeldClaim>(Held);
}

Expected<HeldClaim> KeyClaims::claim(const std::string &Workspace,
                                     const std::string &Key,
                                     const MemberRecord &To,
                                     std::int64_t Revision) {
  HeldClaim Wanted;
  Wanted.Claim = claimOf(To);
  Wanted.Claim.set_claim_id(randomName());
  const auto Bound = lease();
  if (!Bound)
    return failure(ResultCode::StoreUnavailable, Bound.error().Detail);
  const auto Written = Platform.swap(storeKey(Workspace, Key), Revision,
                                     Wanted.Claim.SerializeAsString(), *Bound);
  if (Written) {
    Wanted.Revision = *Written;
    return Wanted;
  }
  if (Written.error().Code == ResultCode::StoreUnavailable)
    return tl::unexpected<Error>(Written.error());
  // Another claim came first, or the answer was lost: the store knows. A write
  // that lands later only names an agent that may run the request then.
  const auto Present = find(Workspace, Key);
  if (!Present)
    return tl::unexpected<Error>(Present.error());
  if (!*Present)
    return failure(ResultCode::StoreUnavailable, "The claim was not kept.");
  return **Present;
}

std::string KeyClaims::makeTicket(const MemberRecord &To) {
  std::ostringstream Out;
  Out << TicketPrefix << To.Beat.node() << TicketSeparator
      << To.Beat.incarnation() << TicketSeparator
      << To.Beat.minion().outcome_period() << TicketSeparator << randomName();
  return Out.str();
}

std::optional<wire::RequestClaim>
KeyClaims::readTicket(const std::string &Key) {
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
  std::uint64_t Life = 0;
  std::uint64_t Number = 0;
  if (Node.empty() || Name.empty() || !readNumber(Incarnation, Life) ||
      !readNumber(Period, Number) || Life == 0)
    return std::nullopt;
  wire::RequestClaim Claim;
  Claim.set_node(Node);
  Claim.set_incarnation(Life);
  Claim.set_period(Number);
  return Claim;
}

} // namespace baobabcove
