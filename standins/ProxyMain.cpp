/// \file
/// A TCP proxy that injects network faults on request: it delays data, closes
/// connections, refuses new ones, or keeps connections open without forwarding.
/// It can also stop forwarding for single clients, selected by process id,
/// which partitions regions from each other.

#include "baobabcove/Clock.h"
#include "base/Signals.h"
#include "http/HttpServer.h"

#include <atomic>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "ip:port to listen on");
ABSL_FLAG(std::string, target, "", "ip:port to connect to");
ABSL_FLAG(std::string, control, "127.0.0.1:0",
          "ip:port for control requests of tests");

namespace baobabcove::standins {
namespace {

constexpr std::size_t BlockBytes = 65536;
constexpr Poco::Timespan::TimeDiff PollUs = 20000;

/// Injected faults and counters. Connections are numbered from 1 as they open.
struct ProxyState {
  std::atomic<int> DelayMs{0};
  std::atomic<bool> RefuseNew{false};
  /// Connections up to this number stay open, but nothing is forwarded.
  std::atomic<std::uint64_t> SilentUpTo{0};
  /// Connections up to this number are closed.
  std::atomic<std::uint64_t> CloseUpTo{0};
  std::atomic<std::uint64_t> Opened{0};
  std::atomic<std::uint64_t> Bytes{0};
};

ProxyState State;

/// The address to which connections are forwarded. It may be set after the
/// start, since a process behind the proxy may learn its address late.
/// Thread-safe.
class ForwardingTarget {
public:
  void set(const std::string &NewAddress) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Address = NewAddress;
  }
  std::string address() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Address;
  }

private:
  std::mutex Mutex;
  std::string Address;
};

ForwardingTarget Target;

/// Ids of the client processes for which nothing is forwarded. Thread-safe.
class BlockedClients {
public:
  /// \p List holds process ids separated by commas.
  void set(const std::string &List) {
    std::set<std::string> NewIds;
    std::istringstream In(List);
    for (std::string Id; std::getline(In, Id, ',');)
      NewIds.insert(Id);
    const std::lock_guard<std::mutex> Lock(Mutex);
    Ids = std::move(NewIds);
  }

  /// Returns whether the client of a connection is blocked. \p ClientId caches
  /// its process id between calls; the id is looked up only when some process
  /// is blocked.
  bool blocks(const Poco::Net::StreamSocket &Client, std::string &ClientId) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (Ids.empty())
        return false;
    }
    if (ClientId.empty())
      ClientId = processIdOf(Client);
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Ids.count(ClientId) != 0;
  }

private:
  /// Returns the id of the process at the other end of a connection within
  /// this machine, or an empty string when it is not found. The kernel's socket
  /// table gives the inode of the socket; the process has that inode among its
  /// open files.
  static std::string processIdOf(const Poco::Net::StreamSocket &Client) {
    std::string Inode = inodeOf(Client, "/proc/net/tcp");
    // IPv6 sockets, which may carry IPv4, are in a table of their own.
    if (Inode.empty())
      Inode = inodeOf(Client, "/proc/net/tcp6");
    if (Inode.empty())
      return {};
    for (const auto &Process : std::filesystem::directory_iterator("/proc"))
      if (hasSocketOpen(Process.path(), "socket:[" + Inode + "]"))
        return Process.path().filename();
    return {};
  }

  static bool endsWithPort(const std::string &Address, std::uint16_t Port) {
    const std::size_t Colon = Address.rfind(':');
    return Colon != std::string::npos &&
           std::stoul(Address.substr(Colon + 1), nullptr, 16) == Port;
  }

  /// Returns the inode of the client's socket, or an empty string. A line of
  /// the table at \p Path holds: number, local address as hexadecimal ip:port,
  /// remote address, state, queues, timer, retransmits, user, timeout, inode.
  static std::string inodeOf(const Poco::Net::StreamSocket &Client,
                             const std::string &Path) {
    const std::uint16_t ClientPort = Client.peerAddress().port();
    const std::uint16_t ProxyPort = Client.address().port();
    std::ifstream Table(Path);
    std::string Line;
    std::getline(Table, Line);
    while (std::getline(Table, Line)) {
      std::istringstream LineStream(Line);
      std::vector<std::string> Fields(10);
      for (std::string &Each : Fields)
        LineStream >> Each;
      if (endsWithPort(Fields[1], ClientPort) &&
          endsWithPort(Fields[2], ProxyPort))
        return Fields[9];
    }
    return {};
  }

  static bool hasSocketOpen(const std::filesystem::path &Process,
                            const std::string &Socket) {
    std::error_code Failed;
    std::filesystem::directory_iterator Open(Process / "fd", Failed);
    if (Failed)
      return false;
    for (const auto &Each : Open)
      if (std::filesystem::read_symlink(Each.path(), Failed) == Socket)
        return true;
    return false;
  }

  std::mutex Mutex;
  std::set<std::string> Ids;
};

BlockedClients Blocked;

/// Bytes received that are sent on at a later time.
struct DelayedBlock {
  Instant SendAt;
  std::string Bytes;
};

/// Forwards one direction of one connection.
class Relay {
public:
  Relay(const Poco::Net::StreamSocket &From, const Poco::Net::StreamSocket &To)
      : From(From), To(To) {}

  /// Receives the available bytes and sends the blocks that are due. Returns
  /// false when the sender has closed and nothing is left to send.
  bool forward() {
    bool Open = true;
    if (From.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      std::string Block(BlockBytes, '\0');
      const int Count =
          From.receiveBytes(Block.data(), static_cast<int>(Block.size()));
      Open = Count > 0;
      Block.resize(static_cast<std::size_t>(std::max(Count, 0)));
      State.Bytes += Block.size();
      if (Open)
        DelayedBlocks.push_back(
            {monotonicNow() + Milliseconds(State.DelayMs), std::move(Block)});
    }
    while (!DelayedBlocks.empty() &&
           (DelayedBlocks.front().SendAt <= monotonicNow())) {
      const std::string &Bytes = DelayedBlocks.front().Bytes;
      std::size_t Sent = 0;
      while (Sent < Bytes.size())
        Sent += static_cast<std::size_t>(To.sendBytes(
            Bytes.data() + Sent, static_cast<int>(Bytes.size() - Sent)));
      DelayedBlocks.pop_front();
    }
    return Open || !DelayedBlocks.empty();
  }

  bool hasPending() const { return !DelayedBlocks.empty(); }

private:
  Poco::Net::StreamSocket From;
  Poco::Net::StreamSocket To;
  std::deque<DelayedBlock> DelayedBlocks;
};

/// Forwards both directions of a connection until either ends or a fault
/// closes it.
void relayConnection(Poco::Net::StreamSocket Client, std::uint64_t Number) {
  try {
    std::string ClientId;
    Poco::Net::StreamSocket Server;
    Server.connect(Poco::Net::SocketAddress(Target.address()),
                   Poco::Timespan(2, 0));
    Client.setNoDelay(true);
    Server.setNoDelay(true);
    Relay ToServer(Client, Server);
    Relay ToClient(Server, Client);
    bool Open = true;
    while (Open && Number > State.CloseUpTo) {
      if (Number <= State.SilentUpTo || Blocked.blocks(Client, ClientId)) {
        std::this_thread::sleep_for(Milliseconds(PollUs / 1000));
        continue;
      }
      Poco::Net::Socket::SocketList Readable{Client, Server};
      Poco::Net::Socket::SocketList None;
      Poco::Net::Socket::SocketList Failed;
      const bool Pending = ToServer.hasPending() || ToClient.hasPending();
      Poco::Net::Socket::select(Readable, None, Failed,
                                Poco::Timespan(Pending ? 1000 : PollUs));
      if (Number <= State.SilentUpTo)
        continue;
      Open = ToServer.forward() && ToClient.forward();
    }
    Server.close();
  } catch (const Poco::Exception &) {
    // One end has closed its connection; the other one is closed as well.
  }
  Client.close();
}

void acceptConnections(Poco::Net::ServerSocket &Listener) {
  for (;;) {
    Poco::Net::StreamSocket Client = Listener.acceptConnection();
    if (State.RefuseNew) {
      Client.close();
      continue;
    }
    const std::uint64_t Number = ++State.Opened;
    std::thread(relayConnection, Client, Number).detach();
  }
}

HttpResponse handleControl(const HttpRequest &Request) {
  const bool Enabled = Request.query("on") != "false";
  if (Request.Path == "/target")
    Target.set(Request.query("to"));
  else if (Request.Path == "/delay")
    State.DelayMs = std::stoi(Request.query("ms"));
  else if (Request.Path == "/refuse")
    State.RefuseNew = Enabled;
  else if (Request.Path == "/cut")
    State.CloseUpTo = State.Opened.load();
  else if (Request.Path == "/silence")
    State.SilentUpTo = Enabled ? State.Opened.load() : 0;
  else if (Request.Path == "/silence_all")
    State.SilentUpTo = Enabled ? UINT64_MAX : 0;
  else if (Request.Path == "/bar")
    Blocked.set(Request.query("ids"));
  HttpResponse Response;
  Response.Body = "{\"opened\":" + std::to_string(State.Opened) +
                  ",\"bytes\":" + std::to_string(State.Bytes) + "}";
  return Response;
}

int serve() {
  blockSignals();
  Target.set(absl::GetFlag(FLAGS_target));
  Poco::Net::ServerSocket Listener;
  Listener.bind(Poco::Net::SocketAddress(absl::GetFlag(FLAGS_listen)), true,
                false);
  Listener.listen(256);
  auto Control =
      serveHttp(absl::GetFlag(FLAGS_control), HttpLimits(), handleControl);
  if (!Control)
    return 1;
  std::cout << "ready listen=" << Listener.address().toString()
            << " control=" << (*Control)->address() << std::endl;
  std::thread([&] { acceptConnections(Listener); }).detach();
  waitForStop([] {});
  std::_Exit(0);
}

} // namespace
} // namespace baobabcove::standins

int main(int ArgumentCount, char **Arguments) {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return baobabcove::standins::serve();
}
