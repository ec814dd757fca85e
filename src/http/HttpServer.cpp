#include "http/HttpServer.h"

#include "http/HttpEngine.h"

#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace baobabcove {

namespace {

constexpr int ListenBacklog = 512;
constexpr Milliseconds DrainPollPeriod{10};
/// Buffers of the kernel for each connection, which doubles these numbers.
/// Bytes that a client has sent and that are not read yet, since an earlier
/// request is being handled, count towards the memory of the machine.
constexpr int ReceiveBufferBytes = 16384;
constexpr int SendBufferBytes = 32768;

Poco::Net::ServerSocket listenOn(const std::string &Address) {
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Address), true, false);
  // Accepted connections inherit the options of the listener.
  Socket.setReceiveBufferSize(ReceiveBufferBytes);
  Socket.setSendBufferSize(SendBufferBytes);
  Socket.setNoDelay(true);
  Socket.setBlocking(false);
  Socket.listen(ListenBacklog);
  return Socket;
}

class EngineServer : public HttpServer {
public:
  EngineServer(const Poco::Net::ServerSocket &Socket, const HttpLimits &Limits,
               HttpHandler Handler, HttpResources Resources)
      : BoundAddress(Socket.address().toString()),
        Engine(Socket, Limits, std::move(Handler), std::move(Resources)) {}

  std::string address() const override { return BoundAddress; }

  void applyLimits(const HttpLimits &Limits) override {
    Engine.applyLimits(Limits);
  }

  void closeAfterResponses() override { Engine.closeAfterResponses(); }

  bool drain(Milliseconds Timeout) override {
    Engine.closeAfterResponses();
    Engine.stopListening();
    const Instant Deadline = monotonicNow() + Timeout;
    while (Engine.openConnections() > 0) {
      if (monotonicNow() >= Deadline)
        return false;
      std::this_thread::sleep_for(DrainPollPeriod);
    }
    return true;
  }

private:
  const std::string BoundAddress;
  HttpEngine Engine;
};

} // namespace

Expected<std::unique_ptr<HttpServer>> serveHttp(const std::string &Address,
                                                const HttpLimits &Limits,
                                                HttpHandler Handler,
                                                HttpResources Resources) {
  try {
    return std::make_unique<EngineServer>(
        listenOn(Address), Limits, std::move(Handler), std::move(Resources));
  } catch (const Poco::Exception &Err) {
    return failure(ResultCode::SettingsInvalid,
                   "Cannot listen on " + Address + ": " + Err.displayText());
  }
}

} // namespace baobabcove
