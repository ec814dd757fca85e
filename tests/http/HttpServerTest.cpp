#include "http/HttpServer.h"
#include "base/HttpClient.h"

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
