/// \file
/// A TCP proxy between two processes that injects faults by order: delay,
/// cutting of connections, refusal of new ones, and silence for good.

#include "baobabcove/Clock.h"
#include "base/Signals.h"
#include "http/HttpServer.h"

#include <atomic>
#include <deque>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>
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
    Poco::Net::StreamSocket Target;
    Target.connect(Poco::Net::SocketAddress(Told.address()),
                   Poco::Timespan(2, 0));
    Caller.setNoDelay(true);
    Target.setNoDelay(true);
    Pump Forth(Caller, Target);
    Pump Back(Target, Caller);
    bool Open = true;
    while (Open && Number > Given.CutUpTo) {
      if (Number <= Given.SilentUpTo) {
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
