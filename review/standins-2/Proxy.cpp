// Forwards connections to one address. While the file --cut exists, nothing
// passes in either direction and no connection is ended, as in a silent cut.
// What was held up passes afterwards.

#include "Common.h"

#include <array>
#include <filesystem>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace review {

namespace {

constexpr std::int64_t PollMs = 5;
constexpr std::size_t BlockBytes = 16384;

void waitWhileCut(const std::string &Cut) {
  while (!Cut.empty() && std::filesystem::exists(Cut))
    sleepMs(PollMs);
}

void forward(Poco::Net::StreamSocket From, Poco::Net::StreamSocket To,
             const std::string &Cut) {
  std::array<char, BlockBytes> Block;
  try {
    for (;;) {
      const int Count = From.receiveBytes(Block.data(), Block.size());
      waitWhileCut(Cut);
      if (Count <= 0)
        break;
      for (int Sent = 0; Sent < Count;)
        Sent += To.sendBytes(Block.data() + Sent, Count - Sent);
    }
    To.shutdownSend();
  } catch (const Poco::Exception &) {
    // Either end has closed its connection.
    To.close();
  }
}

} // namespace

int runProxy(const Options &Given) {
  const std::string Cut = Given.text("cut", "");
  Poco::Net::ServerSocket Listener;
  Listener.bind(Poco::Net::SocketAddress(Given.text("address", "")), true);
  Listener.listen();
  for (;;) {
    Poco::Net::StreamSocket From = Listener.acceptConnection();
    waitWhileCut(Cut);
    try {
      Poco::Net::StreamSocket To(
          Poco::Net::SocketAddress(Given.text("target", "")));
      From.setNoDelay(true);
      To.setNoDelay(true);
      std::thread(forward, From, To, Cut).detach();
      std::thread(forward, To, From, Cut).detach();
    } catch (const Poco::Exception &) {
      // Nothing listens at the target.
      From.close();
    }
  }
}

} // namespace review
