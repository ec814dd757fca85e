#ifndef BAOBABCOVE_TASKS_COORDINATION_ORDERWINDOW_H
#define BAOBABCOVE_TASKS_COORDINATION_ORDERWINDOW_H

#include "tasks.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace baobabcove {

/// Fills the orders for a worker up to the size of a message. Orders that do
/// not fit are left out and follow when earlier ones have been fulfilled. Not
/// thread-safe.
class OrderWindow {
public:
  explicit OrderWindow(wire::TaskOrders &Orders) : Orders(Orders) {}

  /// Adds a start that earlier orders contained. It stays in the window until
  /// it is fulfilled, because the agent forgets a run without an order. Always
  /// returns true.
  bool addPublished(wire::StartOrder Start);
  /// Adds a new start. Returns false if it does not fit.
  bool addStart(wire::StartOrder Start);
  /// Adds a stop. Returns false if it does not fit.
  bool addStop(const std::string &Task, std::uint64_t Run);

private:
  wire::TaskOrders &Orders;
  std::size_t StartBytes = 0;
  std::size_t StopBytes = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_ORDERWINDOW_H
