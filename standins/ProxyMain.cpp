/// \file
/// A TCP proxy between two processes that injects faults by order: delay,
/// cutting of connections, refusal of new ones, and silence for good. Callers
/// that name themselves by process id can be silenced apart from others, which
/// cuts regions from each other.

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
ABSL_FLAG(std::string, control, "127.0.0.1:0", "ip:port for orders of tests");

namespace baobabcove::standins {
namespace {

constexpr std::size_t BlockBytes = 65536;
constexpr Poco::Timespan::TimeDiff PollUs = 20000;

struct Orders {
  std::atomic<int> DelayMs{0};
  std::atomic<bool> Refuse{false};
  /// Connections opened up to this number stay silent for good.
  std::atomic<std::uint64_t> SilentUpTo{0};
  std::atomic<std::uint64_t> CutUpTo{0};
  std::atomic<std::uint64_t> Opened{0};
  std::atomic<std::uint64_t> Bytes{0};
};

Orders Given;

/// Where connections go; it may be told after the start.
class Target {
public:
  void set(const std::string &To) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Address = To;
  }
  std::string address() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Address;
  }

private:
  std::mutex Mutex;
  std::string Address;
};

Target Told;

/// Processes that nothing is carried for.
class Barred {
public:
  void set(const std::string &List) {
    std::set<std::string> Fresh;
    std::istringstream In(List);
    for (std::string Id; std::getline(In, Id, ',');)
      Fresh.insert(Id);
    const std::lock_guard<std::mutex> Lock(Mutex);
    Ids = std::move(Fresh);
  }

  /// Whether the caller of a connection is barred. \p Owner keeps its process
  /// id once that had to be found.
  bool has(const Poco::Net::StreamSocket &Caller, std::string &Owner) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (Ids.empty())
        return false;
    }
    if (Owner.empty())
      Owner = ownerOf(Caller);
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Ids.count(Owner) != 0;
  }

private:
  /// The process at the other end of a connection within this machine, or an
  /// empty text: the kernel lists the socket, and the process holds it open.
  static std::string ownerOf(const Poco::Net::StreamSocket &Caller) {
    std::string Inode = inodeOf(Caller, "/proc/net/tcp");
    // Sockets of both families are listed apart.
    if (Inode.empty())
      Inode = inodeOf(Caller, "/proc/net/tcp6");
    if (Inode.empty())
      return {};
    for (const auto &Process : std::filesystem::directory_iterator("/proc"))
      if (holds(Process.path(), "socket:[" + Inode + "]"))
        return Process.path().filename();
    return {};
  }

  static bool endsWithPort(const std::string &Address, std::uint16_t Port) {
    const std::size_t Colon = Address.rfind(':');
    return Colon != std::string::npos &&
           std::stoul(Address.substr(Colon + 1), nullptr, 16) == Port;
  }

  /// Lines of the table: number, local address as hexadecimal ip:port, remote
  /// address, state, queues, timer, retransmits, user, timeout, inode.
  static std::string inodeOf(const Poco::Net::StreamSocket &Caller,
                             const std::string &Path) {
    const std::uint16_t Theirs = Caller.peerAddress().port();
    const std::uint16_t Ours = Caller.address().port();
    std::ifstream Table(Path);
    std::string Line;
    std::getline(Table, Line);
    while (std::getline(Table, Line)) {
      std::istringstream Fields(Line);
      std::vector<std::string> Field(10);
      for (std::string &Each : Field)
        Fields >> Each;
      if (endsWithPort(Field[1], Theirs) && endsWithPort(Field[2], Ours))
        return Field[9];
    }
    return {};
  }

  static bool holds(const std::filesystem::path &Process,
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

Barred Cut;

/// Bytes on their way, with the time at which they may arrive.
struct Parcel {
  Instant Due;
  std::string Bytes;
};

/// Carries one direction of one connection.
class Pump {
public:
  Pump(const Poco::Net::StreamSocket &From, const Poco::Net::StreamSocket &To)
      : From(From), To(To) {}

  /// Moves what is there; returns false when the direction has ended.
  bool move() {
    bool Open = true;
    if (From.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      std::string Block(BlockBytes, '\0');
      const int Count =
          From.receiveBytes(Block.data(), static_cast<int>(Block.size()));
      Open = Count > 0;
      Block.resize(static_cast<std::size_t>(std::max(Count, 0)));
      Given.Bytes += Block.size();
      if (Open)
        Parcels.push_back(
            {monotonicNow() + Milliseconds(Given.DelayMs), std::move(Block)});
    }
    while (!Parcels.empty() && (Parcels.front().Due <= monotonicNow())) {
      const std::string &Bytes = Parcels.front().Bytes;
      std::size_t Sent = 0;
      while (Sent < Bytes.size())
        Sent += static_cast<std::size_t>(To.sendBytes(
            Bytes.data() + Sent, static_cast<int>(Bytes.size() - Sent)));
      Parcels.pop_front();
    }
    return Open || !Parcels.empty();
  }

  bool waiting() const { return !Parcels.empty(); }

private:
  Poco::Net::StreamSocket From;
  Poco::Net::StreamSocket To;
  std::deque<Parcel> Parcels;
};

void carry(Poco::Net::StreamSocket Caller, std::uint64_t Number) {
  try {
    std::string Owner;
    Poco::Net::StreamSocket Target;
    Target.connect(Poco::Net::SocketAddress(Told.address()),
                   Poco::Timespan(2, 0));
    Caller.setNoDelay(true);
    Target.setNoDelay(true);
    Pump Forth(Caller, Target);
    Pump Back(Target, Caller);
    bool Open = true;
    while (Open && Number > Given.CutUpTo) {
      if (Number <= Given.SilentUpTo || Cut.has(Caller, Owner)) {
        std::this_thread::sleep_for(Milliseconds(PollUs / 1000));
        continue;
      }
      Poco::Net::Socket::SocketList Readable{Caller, Target};
      Poco::Net::Socket::SocketList None;
      Poco::Net::Socket::SocketList Failed;
      const bool Hurry = Forth.waiting() || Back.waiting();
      Poco::Net::Socket::select(Readable, None, Failed,
                                Poco::Timespan(Hurry ? 1000 : PollUs));
      if (Number <= Given.SilentUpTo)
        continue;
      Open = Forth.move() && Back.move();
    }
    Target.close();
  } catch (const Poco::Exception &) {
    // Either end has gone; the other one sees its connection end.
  }
  Caller.close();
}

void accept(Poco::Net::ServerSocket &Listener) {
  for (;;) {
    Poco::Net::StreamSocket Caller = Listener.acceptConnection();
    if (Given.Refuse) {
      Caller.close();
      continue;
    }
    const std::uint64_t Number = ++Given.Opened;
    std::thread(carry, Caller, Number).detach();
  }
}

HttpResponse control(const HttpRequest &Request) {
  const bool On = Request.query("on") != "false";
  if (Request.Path == "/target")
    Told.set(Request.query("to"));
  else if (Request.Path == "/delay")
    Given.DelayMs = std::stoi(Request.query("ms"));
  else if (Request.Path == "/refuse")
    Given.Refuse = On;
  else if (Request.Path == "/cut")
    Given.CutUpTo = Given.Opened.load();
  else if (Request.Path == "/silence")
    Given.SilentUpTo = On ? Given.Opened.load() : 0;
  else if (Request.Path == "/silence_all")
    Given.SilentUpTo = On ? UINT64_MAX : 0;
  else if (Request.Path == "/bar")
    Cut.set(Request.query("ids"));
  HttpResponse Response;
  Response.Body = "{\"opened\":" + std::to_string(Given.Opened) +
                  ",\"bytes\":" + std::to_string(Given.Bytes) + "}";
  return Response;
}

int serve() {
  blockSignals();
  Told.set(absl::GetFlag(FLAGS_target));
  Poco::Net::ServerSocket Listener;
  Listener.bind(Poco::Net::SocketAddress(absl::GetFlag(FLAGS_listen)), true,
                false);
  Listener.listen(256);
  auto Control = serveHttp(absl::GetFlag(FLAGS_control), HttpLimits(), control);
  if (!Control)
    return 1;
  std::cout << "ready listen=" << Listener.address().toString()
            << " control=" << (*Control)->address() << std::endl;
  std::thread([&] { accept(Listener); }).detach();
  waitForStop([] {});
  std::_Exit(0);
}

} // namespace
} // namespace baobabcove::standins

int main(int ArgumentCount, char **Arguments) {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return baobabcove::standins::serve();
}
