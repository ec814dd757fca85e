#include "coordinator/CoordinatorElection.h"

#include "base/Log.h"
#include "wire.pb.h"

namespace baobabcove {

namespace {

constexpr int RenewalsPerLease = 4;
constexpr Milliseconds AcquirePeriod{500};

} // namespace

CoordinatorElection::CoordinatorElection(const Settings &Opts,
                                         std::uint64_t Incarnation,
                                         Store &ClusterStore,
                                         Listener OnRoleChange)
    : Opts(Opts), Incarnation(Incarnation), ClusterStore(ClusterStore),
      OnRoleChange(std::move(OnRoleChange)),
      Key("roles/" + Opts.Cell + "/coordinator") {}

CoordinatorElection::~CoordinatorElection() { resign(); }

void CoordinatorElection::start(const std::string &Address) {
  RpcAddress = Address;
  Thread = std::thread([this] { run(); });
}

void CoordinatorElection::resign() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (!Thread.joinable())
    return;
  Thread.join();
  if (HeldEpoch != 0)
    (void)ClusterStore.revokeLease(LeaseId);
  HeldEpoch = 0;
}

void CoordinatorElection::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    if (HeldEpoch != 0)
      renew();
    else
      tryAcquire();
    Lock.lock();
    const Milliseconds Period =
        HeldEpoch != 0 ? Milliseconds(Opts.RoleLeaseS * 1000 / RenewalsPerLease)
                       : AcquirePeriod;
    Wake.wait_for(Lock, Period, [&] { return Stopping; });
  }
}

void CoordinatorElection::renew() {
  const Instant SentAt = monotonicNow();
  const auto Renewed = ClusterStore.renewLease(LeaseId);
  if (Renewed)
    ConfirmedAt = SentAt;
  if (!Renewed && Renewed.error().Code == ResultCode::CompareFailed)
    onLost();
}

void CoordinatorElection::onLost() {
  LOG4CPLUS_WARN(logOf("role"), "Lost the coordinator role.");
  HeldEpoch = 0;
  OnRoleChange(Epoch());
}

void CoordinatorElection::tryAcquire() {
  const auto Current = ClusterStore.read(Key);
  if (!Current)
    return;
  if (Current->Revision != 0) {
    HighestEpoch = static_cast<std::uint64_t>(Current->Revision);
    wire::RoleRecord Holder;
    // This incarnation may have acquired the role by a write whose reply was
    // lost.
    if (LeaseId != 0 && Holder.ParseFromString(Current->Value) &&
        Holder.node() == Opts.Node && Holder.incarnation() == Incarnation)
      onAcquired(HighestEpoch);
    return;
  }
  const auto Granted =
      ClusterStore.grantLease(std::chrono::seconds(Opts.RoleLeaseS));
  if (!Granted)
    return;
  LeaseId = *Granted;
  wire::RoleRecord Record;
  Record.set_node(Opts.Node);
  Record.set_rpc_address(RpcAddress);
  Record.set_incarnation(Incarnation);
  const auto Written =
      ClusterStore.swap(Key, 0, Record.SerializeAsString(), LeaseId);
  if (Written)
    onAcquired(static_cast<std::uint64_t>(*Written));
}

void CoordinatorElection::onAcquired(std::uint64_t Revision) {
  LOG4CPLUS_INFO(logOf("role"),
                 "Acquired the coordinator role, epoch " << Revision << ".");
  ConfirmedAt = monotonicNow();
  HeldEpoch = Revision;
  HighestEpoch = Revision;
  OnRoleChange(Epoch(Revision));
}

} // namespace baobabcove
