#include "tasks/coordination/CoordinatorRole.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "base/Text.h"
#include "tasks/StoreKeys.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

namespace baobabcove {

namespace {

/// Delay between attempts while the store fails or another process holds the
/// key.
constexpr Milliseconds RetryDelay{200};
/// Wait while another process holds the role; a change of the role key ends the
/// wait early.
constexpr Milliseconds IdleWait{5000};
constexpr int RenewalsPerLease = 4;
/// The lease is treated as expired this long before its end, to allow for the
/// time that an order takes to reach a worker.
constexpr Milliseconds LeaseMargin{200};
/// Share of a core with which a process coordinates 240 workers; the measured
/// peak there is 0.46 of a core.
constexpr double AmpleCpuShare = 0.5;
/// Delay of a process with no share at all. Processes of a deployment start
/// within 300 ms of each other.
constexpr Milliseconds MaxAcquireDelay{500};
/// A process is clearly stronger if its acquisition delay is shorter by this,
/// which corresponds to a tenth of a core.
constexpr Milliseconds MinAdvantage{100};
/// A holder is not asked for the role before it has held it for this long. The
/// time doubles with each request that does not bring the role.
constexpr Milliseconds FirstRequestDelay{1000};
constexpr Milliseconds MaxRequestDelay{16000};
/// Lease of a request, in which the holder's watch reports it.
constexpr Milliseconds RequestTtl{2000};

} // namespace

Milliseconds acquisitionDelay(double CpuShare) {
  const double Missing = 1 - std::clamp(CpuShare / AmpleCpuShare, 0.0, 1.0);
  return Milliseconds(static_cast<std::int64_t>(
      std::lround(Missing * double(MaxAcquireDelay.count()))));
}

Milliseconds acquisitionDelayOf(const std::string &RoleValue) {
  const Poco::StringTokenizer Fields(RoleValue, " ");
  int Delay = 0;
  if (Fields.count() < 4 || !Poco::NumberParser::tryParse(Fields[3], Delay))
    return Milliseconds(0);
  return Milliseconds(Delay);
}

CoordinatorRole::CoordinatorRole(TransactionalStore &Kv, std::string Value,
                                 Milliseconds Ttl,
                                 std::function<void()> OnChange,
                                 Milliseconds AcquireDelay)
    : Kv(Kv), Value(std::move(Value)), Ttl(Ttl), OnChange(std::move(OnChange)),
      AcquireDelay(AcquireDelay), RequestDelay(FirstRequestDelay) {}

CoordinatorRole::~CoordinatorRole() { stop(); }

void CoordinatorRole::start() {
  Thread = std::thread([this] { run(); });
}

void CoordinatorRole::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void CoordinatorRole::noteRoleKey(bool Taken, Milliseconds HolderDelay) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (RoleTaken != Taken || CurrentHolderDelay != HolderDelay)
      HolderSince = BootClock::now();
    RoleTaken = Taken;
    CurrentHolderDelay = HolderDelay;
    HasNews = true;
  }
  Wake.notify_all();
}

void CoordinatorRole::noteRequest(Milliseconds RequesterDelay) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    IsRequested = Held && RequesterDelay + MinAdvantage <= AcquireDelay;
    HasNews = true;
  }
  Wake.notify_all();
}

std::optional<CoordinatorTerm> CoordinatorRole::term() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Held;
}

bool CoordinatorRole::isConfirmed() const {
  return BootClock::now() < ValidUntil.load();
}

void CoordinatorRole::lose(Epoch Lost) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Held || Held->Number != Lost)
      return;
    LOG4CPLUS_WARN(
        logOf("role"),
        LogFields("coordinator role lost").add("epoch", Held->Number));
    Held.reset();
    Lease = 0;
    RoleTaken = false;
    ValidUntil = BootInstant{};
  }
  OnChange();
}

void CoordinatorRole::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    const Milliseconds Delay = advance();
    Lock.lock();
    Wake.wait_for(Lock, Delay, [&] { return Stopping || HasNews; });
    HasNews = false;
  }
  const std::int64_t LeaseToRevoke = Lease;
  Held.reset();
  ValidUntil = BootInstant{};
  Lock.unlock();
  if (!LeaseToRevoke)
    return;
  const auto Ended = Kv.revoke(LeaseToRevoke);
  LOG4CPLUS_INFO(logOf("role"),
                 LogFields("coordinator role released")
                     .add("outcome", Ended ? "done" : Ended.error().Detail));
}

Milliseconds CoordinatorRole::advance() {
  bool HoldsRole = false;
  bool RoleIsFree = false;
  bool MustHandOver = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    HoldsRole = Held.has_value();
    RoleIsFree = !RoleTaken;
    MustHandOver = std::exchange(IsRequested, false) && HoldsRole;
  }
  if (MustHandOver)
    return handOver();
  if (HoldsRole)
    return renew();
  if (!RoleIsFree)
    return requestFromWeaker();
  return staysFree() ? acquire() : Milliseconds(0);
}

bool CoordinatorRole::staysFree() {
  std::unique_lock<std::mutex> Lock(Mutex);
  return !Wake.wait_for(Lock, AcquireDelay,
                        [&] { return Stopping || RoleTaken; });
}

Milliseconds CoordinatorRole::acquire() {
  const BootInstant Sent = BootClock::now();
  const auto Granted = Kv.grant(Ttl);
  if (!Granted)
    return RetryDelay;
  // The random suffix identifies this write when the answer is lost.
  const std::string UniqueValue =
      Value + " " + randomName() + " " + std::to_string(AcquireDelay.count());
  Transaction Change;
  Change.Conditions.push_back({keys::Coordinator, 0});
  Change.Writes.push_back({keys::Coordinator, UniqueValue, *Granted});
  const auto Result = Kv.commit(Change);
  std::int64_t Revision = Result ? Result->Revision.value_or(0) : 0;
  if (!Result && Result.error().Code == ResultCode::StoreAnswerLost)
    if (const auto Item = Kv.read(keys::Coordinator); Item && *Item)
      Revision = (*Item)->Value == UniqueValue ? (*Item)->Revision : 0;
  if (Revision == 0) {
    // Another process wrote the key first; the store follower will report it.
    (void)Kv.revoke(*Granted);
    return RetryDelay;
  }
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Lease = *Granted;
    RoleTaken = true;
    RequestDelay = FirstRequestDelay;
    IsRequested = false;
  }
  setHeld(Revision, Sent + Ttl - LeaseMargin);
  return Ttl / RenewalsPerLease;
}

void CoordinatorRole::setHeld(std::int64_t Revision, BootInstant Until) {
  ValidUntil = Until;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Held =
        CoordinatorTerm{Epoch(static_cast<std::uint64_t>(Revision)), Revision};
  }
  LOG4CPLUS_INFO(logOf("role"), LogFields("coordinator role acquired")
                                    .add("epoch", Revision)
                                    .add("lease_ms", Ttl.count()));
  OnChange();
}

Milliseconds CoordinatorRole::renew() {
  std::int64_t LeaseToRenew = 0;
  Epoch Number;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    LeaseToRenew = Lease;
    Number = Held ? Held->Number : Epoch();
  }
  const BootInstant Sent = BootClock::now();
  const auto Result = Kv.renew(LeaseToRenew);
  if (Result) {
    ValidUntil = Sent + Ttl - LeaseMargin;
    return Ttl / RenewalsPerLease;
  }
  if (Result.error().Code == ResultCode::CompareFailed)
    lose(Number);
  return RetryDelay;
}

Milliseconds CoordinatorRole::requestFromWeaker() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (CurrentHolderDelay < AcquireDelay + MinAdvantage)
      return IdleWait;
    const Milliseconds HeldFor = BootClock::now() - HolderSince;
    if (HeldFor < RequestDelay)
      return RequestDelay - HeldFor;
    RequestDelay = std::min(RequestDelay * 2, MaxRequestDelay);
    // The next request waits for the longer time from now on.
    HolderSince = BootClock::now();
  }
  if (Kv.health().isUnavailable(BootClock::now()))
    return RetryDelay;
  const bool IsWritten = writeRequest();
  LOG4CPLUS_INFO(logOf("role"),
                 LogFields("coordinator role requested")
                     .add("delay_ms", AcquireDelay.count())
                     .add("outcome", IsWritten ? "written" : "not written"));
  return RetryDelay;
}

bool CoordinatorRole::writeRequest() {
  const auto Granted = Kv.grant(RequestTtl);
  if (!Granted)
    return false;
  Transaction Change;
  Change.Conditions.push_back({keys::RoleRequest, 0});
  Change.Writes.push_back(
      {keys::RoleRequest, std::to_string(AcquireDelay.count()), *Granted});
  const auto Result = Kv.commit(Change);
  return Result && Result->Revision;
}

Milliseconds CoordinatorRole::handOver() {
  std::int64_t LeaseToRevoke = 0;
  Epoch Number;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Held)
      return Milliseconds(0);
    Number = Held->Number;
    LeaseToRevoke = std::exchange(Lease, 0);
    Held.reset();
    // Orders and grants end before another process can acquire the role.
    ValidUntil = BootInstant{};
  }
  OnChange();
  const auto Ended = Kv.revoke(LeaseToRevoke);
  LOG4CPLUS_INFO(logOf("role"),
                 LogFields("coordinator role handed over")
                     .add("epoch", Number)
                     .add("outcome", Ended ? "done" : Ended.error().Detail));
  return IdleWait;
}

} // namespace baobabcove
