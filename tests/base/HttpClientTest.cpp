#include "base/HttpClient.h"
#include "http/HttpServer.h"
#include "wire.pb.h"

#include <atomic>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

ResultCode codeOf(const std::string &Json) {
  wire::JobSpec Spec;
  const auto Read = fromJson(Json, Spec);
  return Read ? ResultCode::Ok : Read.error().Code;
}

} // namespace

TEST_GROUP(HttpClient){};

TEST(HttpClient, ReadsAJobFromJson) {
  CHECK_TRUE(ResultCode::Ok ==
             codeOf("{\"tasks\":4,\"adjacency\":\"SAME_RACK\"}"));
}

TEST(HttpClient, RefusesMalformedJsonAndUnknownFields) {
  CHECK_TRUE(ResultCode::MalformedRequest == codeOf("{\"tasks\":"));
  CHECK_TRUE(ResultCode::MalformedRequest == codeOf("{\"taks\":4}"));
}

TEST(HttpClient, RefusesNegativeAndOverflowingNumbers) {
  CHECK_TRUE(ResultCode::MalformedRequest == codeOf("{\"tasks\":-1}"));
  CHECK_TRUE(ResultCode::MalformedRequest == codeOf("{\"tasks\":4294967296}"));
  CHECK_TRUE(ResultCode::MalformedRequest ==
             codeOf("{\"memory_mb_per_task\":18446744073709551616}"));
}

// Guards against a peer whose response fills the memory of the caller.
TEST(HttpClient, GivesUpAResponseThatIsTooLarge) {
  const auto Server =
      serveHttp("127.0.0.1:0", HttpLimits(), [](const HttpRequest &) {
        HttpResponse Response;
        Response.Body = std::string(100000, 'x');
        return Response;
      });
  HttpClient Client((*Server)->address());
  HttpCall Call;
  Call.Path = "/x";
  LONGS_EQUAL(100000, Client.call(Call)->Body.size());
  Call.MaxResponseBytes = 99999;
  CHECK(ResultCode::OutcomeUnknown == Client.call(Call).error().Code);
}

// Guards against a peer that holds a call for any time by sending a byte now
// and then.
TEST(HttpClient, GivesUpAResponseThatDoesNotEnd) {
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  std::atomic<bool> Ended{false};
  std::thread Peer([&] {
    Poco::Net::StreamSocket Socket = Listener.acceptConnection();
    const std::string Header =
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    Socket.sendBytes(Header.data(), int(Header.size()));
    try {
      while (!Ended) {
        Socket.sendBytes("x", 1, MSG_NOSIGNAL);
        std::this_thread::sleep_for(Milliseconds(20));
      }
    } catch (const Poco::Exception &) {
      // The client has closed the connection.
    }
  });
  HttpClient Client(Listener.address().toString());
  HttpCall Call;
  Call.Path = "/x";
  Call.Timeout = Milliseconds(200);
  const auto Response = Client.call(Call);
  Ended = true;
  Peer.join();
  CHECK(ResultCode::OutcomeUnknown == Response.error().Code);
}

TEST(HttpClient, ReportsAnUnreachablePeerWhenTheConnectionIsRefused) {
  HttpClient Client("127.0.0.1:1");
  const auto Response = Client.call({});
  CHECK_TRUE(!Response.has_value());
  CHECK_TRUE(ResultCode::PeerUnreachable == Response.error().Code);
}
