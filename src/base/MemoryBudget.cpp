#include "base/MemoryBudget.h"

#include <algorithm>

#include <malloc.h>

namespace baobabcove {

namespace {

/// Share of a machine's memory that messages may take. The rest is for the
/// program, its jobs and the receive buffers of the connections.
constexpr std::size_t MachineFraction = 8;
constexpr std::size_t MinTotalBytes = 8 << 20;
constexpr std::size_t MaxTotalBytes = 64 << 20;
/// Share of the budget that clients cannot use.
constexpr std::size_t SystemFraction = 5;
constexpr int MaxArenas = 2;

} // namespace

bool MemoryBudget::tryReserve(MemoryShare Share, std::size_t Bytes) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::size_t Used = UsedByClients + UsedBySystem;
  if (Bytes > Total - std::min(Total, Used))
    return false;
  if (Share == MemoryShare::Clients) {
    const std::size_t Most = Total - SystemReserve;
    if (Bytes > Most - std::min(Most, UsedByClients))
      return false;
    UsedByClients += Bytes;
  } else {
    UsedBySystem += Bytes;
  }
  Peak = std::max(Peak, Used + Bytes);
  return true;
}

void MemoryBudget::release(MemoryShare Share, std::size_t Bytes) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  (Share == MemoryShare::Clients ? UsedByClients : UsedBySystem) -= Bytes;
}

std::size_t MemoryBudget::capacity(MemoryShare Share) const {
  return Share == MemoryShare::Clients ? Total - SystemReserve : Total;
}

std::size_t MemoryBudget::used() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return UsedByClients + UsedBySystem;
}

std::size_t MemoryBudget::peak() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Peak;
}

std::shared_ptr<MemoryBudget> makeMemoryBudget(std::uint32_t MemoryMb) {
  const std::size_t Total =
      std::clamp((std::size_t(MemoryMb) << 20) / MachineFraction, MinTotalBytes,
                 MaxTotalBytes);
  return std::make_shared<MemoryBudget>(Total, Total / SystemFraction);
}

void limitAllocationArenas() { (void)mallopt(M_ARENA_MAX, MaxArenas); }

bool MemoryReservation::resize(std::size_t Bytes) {
  if (Bytes > Held && !Budget->tryReserve(Share, Bytes - Held))
    return false;
  if (Bytes < Held)
    Budget->release(Share, Held - Bytes);
  Held = Bytes;
  return true;
}

} // namespace baobabcove
