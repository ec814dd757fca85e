#include "http/HttpServer.h"
#include "WaitUntil.h"
#include "base/HttpClient.h"

#include <atomic>
#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(HttpServer) {
  std::unique_ptr<HttpServer> Server;

  void setup() override {
    HttpLimits Limits;
    Limits.Threads = 4;
    Limits.BodyBytes = 1000;
    Limits.ReceiveTimeout = Milliseconds(400);
    Limits.IdleTimeout = Milliseconds(400);
    auto Served =
        serveHttp("127.0.0.1:0", Limits, [](const HttpRequest &Request) {
          HttpResponse Response;
          Response.Body = "got " + Request.Body;
          return Response;
        });
    Server = std::move(*Served);
  }

  Expected<HttpClientResponse> send(
      const std::string &Body,
      const std::map<std::string, std::string> &Headers = {}) {
    HttpClient Client(Server->address());
    HttpCall Call;
    Call.Path = "/x";
    Call.Body = Body;
    Call.Headers = Headers;
    return Client.call(Call);
  }
};

TEST(HttpServer, AnswersARequest) {
  STRCMP_EQUAL("got abc", send("abc")->Body.c_str());
}

TEST(HttpServer, RefusesAnOversizedBodyWithItsCode) {
  const auto Answer = send(std::string(5000, 'x'));
  LONGS_EQUAL(413, Answer->Status);
  CHECK_TRUE(Answer->Body.find("\"code\":1002") != std::string::npos);
  CHECK_TRUE(Answer->Body.find("\"outcome\":\"not run\"") != std::string::npos);
}

TEST(HttpServer, RefusesTooManyHeadersWithItsCode) {
  std::map<std::string, std::string> Headers;
  for (int I = 0; I < 200; ++I)
    Headers["X-" + std::to_string(I)] = "v";
  const auto Answer = send("", Headers);
  LONGS_EQUAL(431, Answer->Status);
  CHECK_TRUE(Answer->Body.find("\"code\":1005") != std::string::npos);
}

TEST(HttpServer, FreesThreadsOfSlowSendersAfterTheReceiveTimeout) {
  // More slow senders than there are threads.
  std::vector<Poco::Net::StreamSocket> Slow;
  for (int I = 0; I < 8; ++I) {
    Slow.emplace_back(Poco::Net::SocketAddress(Server->address()));
    Slow.back().sendBytes("P", 1);
  }
  STRCMP_EQUAL("got late", send("late")->Body.c_str());
}

// Guards against incomplete requests that hold all threads until they time out.
TEST(HttpServer, ServesWhileConnectionsAreHalfOpen) {
  HttpLimits Limits;
  Limits.Threads = 2;
  Limits.ReceiveTimeout = Milliseconds(60000);
  auto Patient = serveHttp("127.0.0.1:0", Limits,
                           [](const HttpRequest &) { return HttpResponse(); });
  std::vector<Poco::Net::StreamSocket> HalfOpen;
  const std::string Begin = "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\n1234";
  for (std::size_t I = 0; I < 300; ++I) {
    HalfOpen.emplace_back(Poco::Net::SocketAddress((*Patient)->address()));
    HalfOpen.back().sendBytes(Begin.data(), int(I % Begin.size()));
  }
  HttpClient Client((*Patient)->address());
  HttpCall Call;
  Call.Path = "/x";
  LONGS_EQUAL(200, Client.call(Call)->Status);
}

// Guards against a client that keeps all others out by opening connections.
TEST(HttpServer, ClosesTheSlowestConnectionForANewOne) {
  HttpLimits Limits;
  Limits.Threads = 2;
  Limits.Connections = 20;
  Limits.ConnectionsPerPeer = 20;
  Limits.ReceiveTimeout = Milliseconds(60000);
  auto Small = serveHttp("127.0.0.1:0", Limits,
                         [](const HttpRequest &) { return HttpResponse(); });
  std::vector<Poco::Net::StreamSocket> HalfOpen;
  for (int I = 0; I < 20; ++I) {
    HalfOpen.emplace_back(Poco::Net::SocketAddress((*Small)->address()));
    HalfOpen.back().sendBytes("GET", 3);
  }
  HttpCall Call;
  Call.Path = "/x";
  // A connection is kept for a short time in any case.
  CHECK_TRUE(waitUntil([&] {
    HttpClient Client((*Small)->address());
    const auto Response = Client.call(Call);
    return Response && Response->Status == 200;
  }));
}

// Guards against bodies that stop just short of their end and hold memory for
// which others are refused.
TEST(HttpServer, TakesMemoryFromIncompleteBodiesForNewRequests) {
  HttpLimits Limits;
  Limits.Threads = 2;
  Limits.ReceiveTimeout = Milliseconds(60000);
  HttpResources Resources;
  Resources.Budget = std::make_shared<MemoryBudget>(2 << 20, 0);
  auto Small = serveHttp(
      "127.0.0.1:0", Limits, [](const HttpRequest &) { return HttpResponse(); },
      Resources);
  std::vector<Poco::Net::StreamSocket> Incomplete;
  for (int I = 0; I < 30; ++I) {
    Incomplete.emplace_back(Poco::Net::SocketAddress((*Small)->address()));
    const std::string Text =
        "POST /x HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
        std::string(99999, 'x');
    Incomplete.back().setSendTimeout(Poco::Timespan(1, 0));
    try {
      Incomplete.back().sendBytes(Text.data(), int(Text.size()));
    } catch (const Poco::Exception &) {
      // The server has refused the body.
    }
  }
  HttpCall Call;
  Call.Path = "/x";
  Call.Body = std::string(50000, 'y');
  CHECK_TRUE(waitUntil([&] {
    HttpClient Client((*Small)->address());
    const auto Response = Client.call(Call);
    return Response && Response->Status == 200;
  }));
  CHECK(Resources.Budget->peak() <= (2 << 20));
}

// Guards against responses to pipelined requests that are kept in memory for a
// client that does not read.
TEST(HttpServer, HandlesNoMoreRequestsOfAClientThatDoesNotRead) {
  std::atomic<int> Handled{0};
  auto Counting =
      serveHttp("127.0.0.1:0", HttpLimits(), [&](const HttpRequest &) {
        ++Handled;
        HttpResponse Response;
        Response.Body = std::string(20000, 'x');
        return Response;
      });
  Poco::Net::StreamSocket Client(
      Poco::Net::SocketAddress((*Counting)->address()));
  std::string Requests;
  for (int I = 0; I < 400; ++I)
    Requests += "GET /" + std::to_string(I) + " HTTP/1.1\r\n\r\n";
  Client.sendBytes(Requests.data(), int(Requests.size()));
  CHECK_TRUE(waitUntil([&] { return Handled > 0; }));
  std::this_thread::sleep_for(Milliseconds(300));
  CHECK(Handled < 100);
  // The rest is answered once the client reads.
  Client.setReceiveTimeout(Poco::Timespan(20, 0));
  std::string Block(65536, 0);
  while (Handled < 400 &&
         Client.receiveBytes(Block.data(), int(Block.size())) > 0) {
  }
  LONGS_EQUAL(400, Handled.load());
}

// Guards against limits that need a restart, and against changes that are lost.
TEST(HttpServer, AppliesChangedLimits) {
  HttpLimits Limits;
  Limits.BodyBytes = 10;
  Server->applyLimits(Limits);
  LONGS_EQUAL(413, send("more than ten")->Status);
  Limits.BodyBytes = 100;
  Server->applyLimits(Limits);
  LONGS_EQUAL(200, send("more than ten")->Status);
}

TEST(HttpServer, ClosesConnectionsAfterTheNextResponse) {
  Server->closeAfterResponses();
  STRCMP_EQUAL("got x", send("x")->Body.c_str());
  CHECK_TRUE(Server->drain(Milliseconds(5000)));
}

// Guards against entries that never ended when they were stopped while idle.
TEST(HttpServer, DrainsWithoutAnyConnection) {
  CHECK_TRUE(Server->drain(Milliseconds(5000)));
}

// Guards against entries that never ended when clients kept all connections.
TEST(HttpServer, DrainsAfterKeptConnectionsHaveEnded) {
  HttpClient Client(Server->address());
  HttpCall Call;
  Call.Path = "/x";
  CHECK_TRUE(Client.call(Call).has_value());
  CHECK_TRUE(Server->drain(Milliseconds(5000)));
}
