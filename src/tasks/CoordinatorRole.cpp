#include "tasks/CoordinatorRole.h"

#include "base/Log.h"
#include "base/LogFields.h"
#include "base/Text.h"
#include "tasks/StoreKeys.h"

#include <functional>

namespace baobabcove {

namespace {

/// Between attempts while the store fails or another process was faster.
constexpr Milliseconds RetryPause{200};
/// How long the process sleeps while another one holds the role; a change of
/// the key wakes it.
constexpr Milliseconds IdlePause{5000};
/// Renewals within one lease.
constexpr int RenewalsPerLease = 4;
/// The lease counts as run out this long before it does, for the time that
/// an order takes to a worker.
constexpr Milliseconds LeaseMargin{200};

} // namespace

CoordinatorRole::CoordinatorRole(TransactionalStore &Kv, std::string Value,
                                 Milliseconds Ttl,
                                 std::function<void()> OnChange)
    : Kv(Kv), Value(std::move(Value)), Ttl(Ttl), OnChange(std::move(OnChange)) {
}

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

void CoordinatorRole::noteSeat(bool Taken) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    SeatTaken = Taken;
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

void CoordinatorRole::lose() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Held)
      return;
    LOG4CPLUS_WARN(logOf("role"),
                   LogFields("role lost").add("epoch", Held->Number));
    Held.reset();
    Lease = 0;
    SeatTaken = false;
    ValidUntil = BootInstant{};
  }
  OnChange();
}

void CoordinatorRole::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    const Milliseconds Pause = step();
    Lock.lock();
    const bool Waiting = !Held && SeatTaken;
    Wake.wait_for(Lock, Pause,
                  [&] { return Stopping || (Waiting && !SeatTaken); });
  }
  const std::int64_t Ending = Lease;
  Held.reset();
  ValidUntil = BootInstant{};
  Lock.unlock();
  if (!Ending)
    return;
  const auto Ended = Kv.revoke(Ending);
  LOG4CPLUS_INFO(logOf("role"),
                 LogFields("role given back")
                     .add("outcome", Ended ? "done" : Ended.error().Detail));
}

Milliseconds CoordinatorRole::step() {
  bool Holds = false;
  bool Free = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Holds = Held.has_value();
    Free = !SeatTaken;
  }
  if (Holds)
    return keep();
  return Free ? acquire() : IdlePause;
}

Milliseconds CoordinatorRole::acquire() {
  const BootInstant Sent = BootClock::now();
  const auto Granted = Kv.grant(Ttl);
  if (!Granted)
    return RetryPause;
  // A value of its own tells whose write it was when an answer is lost.
  const std::string Own = Value + " " + randomName();
  Transaction Change;
  Change.Conditions.push_back({keys::Coordinator, 0});
  Change.Writes.push_back({keys::Coordinator, Own, *Granted});
  const auto Result = Kv.commit(Change);
  std::int64_t Revision = Result ? Result->Revision.value_or(0) : 0;
  if (!Result && Result.error().Code == ResultCode::StoreAnswerLost)
    if (const auto Item = Kv.read(keys::Coordinator); Item && *Item)
      Revision = (*Item)->Value == Own ? (*Item)->Revision : 0;
  if (Revision == 0) {
    // Somebody else was faster, as the follower of the store will tell.
    (void)Kv.revoke(*Granted);
    return RetryPause;
  }
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Lease = *Granted;
    SeatTaken = true;
  }
  take(Revision, Sent + Ttl - LeaseMargin);
  return Ttl / RenewalsPerLease;
}

void CoordinatorRole::take(std::int64_t Revision, BootInstant Until) {
  ValidUntil = Until;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Held =
        CoordinatorTerm{Epoch(static_cast<std::uint64_t>(Revision)), Revision};
  }
  LOG4CPLUS_INFO(logOf("role"), LogFields("role taken")
                                    .add("epoch", Revision)
                                    .add("lease_ms", Ttl.count()));
  OnChange();
}

Milliseconds CoordinatorRole::keep() {
  std::int64_t Renewed = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Renewed = Lease;
  }
  const BootInstant Sent = BootClock::now();
  const auto Result = Kv.renew(Renewed);
  if (Result) {
    ValidUntil = Sent + Ttl - LeaseMargin;
    return Ttl / RenewalsPerLease;
  }
  if (Result.error().Code == ResultCode::CompareFailed)
    lose();
  return RetryPause;
}

} // namespace baobabcove
