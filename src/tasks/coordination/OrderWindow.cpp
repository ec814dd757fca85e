#include "tasks/coordination/OrderWindow.h"

#include <utility>

namespace baobabcove {

namespace {

/// Size of the starts in one message. The slowest links carry 10 Mbit/s, 1.25
/// MB in a second, and an agent waits 900 ms for an answer.
constexpr std::size_t MaxStartBytes = 256 << 10;
constexpr std::size_t MaxStopBytes = 256 << 10;
/// Number of starts in one message; well below the capacity of an agent's
/// queue.
constexpr int MaxStarts = 256;
/// Added to the size of an element for its tag and length.
constexpr std::size_t ElementOverhead = 8;

} // namespace

bool OrderWindow::addPublished(wire::StartOrder Start) {
  StartBytes += Start.ByteSizeLong() + ElementOverhead;
  *Orders.add_starts() = std::move(Start);
  return true;
}

bool OrderWindow::addStart(wire::StartOrder Start) {
  const std::size_t Bytes = Start.ByteSizeLong() + ElementOverhead;
  // A first start always fits: a payload is at most as large as a call.
  if (Orders.starts_size() > 0 &&
      (Orders.starts_size() >= MaxStarts || StartBytes + Bytes > MaxStartBytes))
    return false;
  return addPublished(std::move(Start));
}

bool OrderWindow::addStop(const std::string &Task, std::uint64_t Run) {
  wire::RunKey Stop;
  Stop.set_task(Task);
  Stop.set_run(Run);
  const std::size_t Bytes = Stop.ByteSizeLong() + ElementOverhead;
  if (StopBytes + Bytes > MaxStopBytes)
    return false;
  StopBytes += Bytes;
  *Orders.add_stops() = std::move(Stop);
  return true;
}

} // namespace baobabcove
