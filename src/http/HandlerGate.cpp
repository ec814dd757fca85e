#include "http/HandlerGate.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Memory of parsed JSON, rounded up from the figures in
/// docs/design/untrusted-clients.md: of an object, and of another value.
constexpr std::size_t BytesPerJsonObject = 900;
constexpr std::size_t BytesPerJsonValue = 72;
/// Copies of a body that a handler makes.
constexpr std::size_t BodyCopies = 2;

} // namespace

std::size_t handlingBytes(const HttpRequest &Request) {
  std::size_t Bytes = BodyCopies * Request.Body.size();
  for (const char Byte : Request.Body)
    if (Byte == '{')
      Bytes += BytesPerJsonObject;
    else if (Byte == ',' || Byte == ':' || Byte == '[')
      Bytes += BytesPerJsonValue;
  return Bytes;
}

HandlerGate::HandlerGate(MemoryBudget &Budget, MemoryShare Share,
                         std::size_t Threads, std::size_t ReservedThreads)
    : Budget(Budget), Share(Share), Threads(Threads),
      ReservedThreads(std::min(ReservedThreads, Threads - 1)) {}

std::size_t HandlerGate::mostBytes() const {
  return 2 * Budget.capacity(Share);
}

bool HandlerGate::tryEnter(Connection &Client, bool IsSystem) {
  if (Handling >= (IsSystem ? Threads : Threads - ReservedThreads))
    return false;
  // The largest request must be admitted when it is alone, and only then.
  Client.HandlingBytes =
      std::min(Client.HandlingBytes, Budget.capacity(Share) / 4 * 3);
  if (!Budget.tryReserve(Share, Client.HandlingBytes)) {
    if (!IsSystem)
      return false;
    Client.HandlingBytes = 0;
  }
  ++Handling;
  return true;
}

void HandlerGate::leave(std::size_t Bytes) {
  Budget.release(Share, Bytes);
  const std::lock_guard<std::mutex> Lock(Mutex);
  --Handling;
}

std::shared_ptr<Connection> HandlerGate::admitNext() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  while (!Waiting.empty()) {
    const auto Next = std::min_element(
        Waiting.begin(), Waiting.end(), [](const auto &A, const auto &B) {
          return A->HandlingBytes < B->HandlingBytes;
        });
    std::shared_ptr<Connection> Client = *Next;
    if (!tryEnter(*Client, false))
      return nullptr;
    Waiting.erase(Next);
    if (Client->takeIn(ConnectionPhase::Queued))
      return Client;
    // The request was refused while it waited.
    Budget.release(Share, Client->HandlingBytes);
    --Handling;
  }
  return nullptr;
}

bool HandlerGate::isEmpty() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Waiting.empty();
}

} // namespace baobabcove
