#include "coordinator/RoleKeeper.h"

#include "base/Log.h"
#include "wire.pb.h"

namespace baobabcove {

namespace {

constexpr int RenewalsPerLease = 4;
constexpr Milliseconds SeekPeriod{500};

} // namespace

RoleKeeper::RoleKeeper(const Settings &Of, std::uint64_t Incarnation,
                       Store &Platform, Listener Changed)
    : Of(Of), Incarnation(Incarnation), Platform(Platform),
      Changed(std::move(Changed)), Key("roles/" + Of.Cell + "/coordinator") {}

RoleKeeper::~RoleKeeper() { resign(); }

void RoleKeeper::start(const std::string &Address) {
  RpcAddress = Address;
  Thread = std::thread([this] { run(); });
}

void RoleKeeper::resign() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (!Thread.joinable())
    return;
  Thread.join();
  if (Held != 0)
    (void)Platform.revokeLease(Lease);
  Held = 0;
}

void RoleKeeper::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    if (Held != 0)
      keep();
    else
      seek();
    Lock.lock();
    const Milliseconds Pause =
        Held != 0 ? Milliseconds(Of.RoleLeaseS * 1000 / RenewalsPerLease)
                  : SeekPeriod;
    Wake.wait_for(Lock, Pause, [&] { return Stopping; });
  }
}

void RoleKeeper::keep() {
  const Instant Asked = monotonicNow();
  const auto Renewed = Platform.renewLease(Lease);
  if (Renewed)
    Confirmed = Asked;
  if (!Renewed && Renewed.error().Code == ResultCode::CompareFailed)
    lose();
}

void RoleKeeper::lose() {
  LOG4CPLUS_WARN(logOf("role"), "Lost the coordinator's role.");
  Held = 0;
  Changed(Epoch());
}

void RoleKeeper::seek() {
  const auto Present = Platform.read(Key);
  if (!Present)
    return;
  if (Present->Revision != 0) {
    Highest = static_cast<std::uint64_t>(Present->Revision);
    wire::RoleRecord Holder;
    // A write whose answer was lost may have given the role to this life.
    if (Lease != 0 && Holder.ParseFromString(Present->Value) &&
        Holder.node() == Of.Node && Holder.incarnation() == Incarnation)
      gain(Highest);
    return;
  }
  const auto Granted = Platform.grantLease(std::chrono::seconds(Of.RoleLeaseS));
  if (!Granted)
    return;
  Lease = *Granted;
  wire::RoleRecord Mine;
  Mine.set_node(Of.Node);
  Mine.set_rpc_address(RpcAddress);
  Mine.set_incarnation(Incarnation);
  const auto Taken = Platform.swap(Key, 0, Mine.SerializeAsString(), Lease);
  if (Taken)
    gain(static_cast<std::uint64_t>(*Taken));
}

void RoleKeeper::gain(std::uint64_t Revision) {
  LOG4CPLUS_INFO(logOf("role"),
                 "Took the coordinator's role, epoch " << Revision << ".");
  Confirmed = monotonicNow();
  Held = Revision;
  Highest = Revision;
  Changed(Epoch(Revision));
}

} // namespace baobabcove
