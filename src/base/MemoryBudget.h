#ifndef BAOBABCOVE_BASE_MEMORYBUDGET_H
#define BAOBABCOVE_BASE_MEMORYBUDGET_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>

namespace baobabcove {

/// Who reserves memory. Clients cannot use up what is set aside for the system.
enum class MemoryShare {
  /// Callers outside the deployment.
  Clients,
  /// Readiness probes, operators, metrics, and calls between own processes.
  System
};

/// Bytes that the servers of a process may hold for messages, shared by all of
/// them. Bytes are reserved before they are read. Thread-safe.
class MemoryBudget {
public:
  /// Clients can reserve at most \p Total - \p SystemReserve bytes.
  MemoryBudget(std::size_t Total, std::size_t SystemReserve)
      : Total(Total), SystemReserve(SystemReserve) {}

  /// Reserves \p Bytes, or returns false and reserves nothing.
  bool tryReserve(MemoryShare Share, std::size_t Bytes);
  void release(MemoryShare Share, std::size_t Bytes);

  /// Returns the most that \p Share can ever hold.
  std::size_t capacity(MemoryShare Share) const;
  std::size_t used() const;
  /// Returns the highest value of used() so far.
  std::size_t peak() const;

private:
  const std::size_t Total;
  const std::size_t SystemReserve;
  mutable std::mutex Mutex;
  std::size_t UsedByClients = 0;
  std::size_t UsedBySystem = 0;
  std::size_t Peak = 0;
};

/// Returns the budget of a process on a machine with \p MemoryMb MiB.
std::shared_ptr<MemoryBudget> makeMemoryBudget(std::uint32_t MemoryMb);

/// Limits the number of allocation arenas of the process. Each arena keeps
/// freed memory of its own, which threads with other arenas cannot use.
void limitAllocationArenas();

/// Bytes held in a budget, which are released by the destructor. Not
/// thread-safe.
class MemoryReservation {
public:
  MemoryReservation(MemoryBudget &Budget, MemoryShare Share)
      : Budget(&Budget), Share(Share) {}
  MemoryReservation(const MemoryReservation &) = delete;
  MemoryReservation &operator=(const MemoryReservation &) = delete;
  ~MemoryReservation() { resize(0); }

  /// Changes the reservation to \p Bytes. Returns false and leaves it as it is
  /// when it cannot grow; shrinking always succeeds.
  bool resize(std::size_t Bytes);
  std::size_t size() const { return Held; }

private:
  MemoryBudget *Budget;
  const MemoryShare Share;
  std::size_t Held = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_MEMORYBUDGET_H
