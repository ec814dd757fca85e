#include "http/RequestReceiver.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using State = RequestReceiver::State;

TEST_GROUP(RequestReceiver) {
  HttpLimits Limits;
  RequestReceiver Receiver;

  void setup() override {
    Limits.BodyBytes = 1000;
    Limits.HeaderBytes = 2000;
  }

  void checkRefused(const std::string &Text, ResultCode Code) {
    CHECK(State::Refused == Receiver.add(Text, Limits));
    CHECK(Code == Receiver.error().Code);
    Receiver = RequestReceiver();
  }
};

TEST(RequestReceiver, CollectsARequestByteByByte) {
  const std::string Text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 3\r\n\r\nxyz";
  for (std::size_t I = 0; I + 1 < Text.size(); ++I)
    CHECK(State::Complete != Receiver.add(Text.substr(I, 1), Limits));
  CHECK(State::Complete == Receiver.add("z", Limits));
  const HttpRequest Request = Receiver.take();
  STRCMP_EQUAL("/a", Request.Path.c_str());
  STRCMP_EQUAL("c", Request.query("b").c_str());
  STRCMP_EQUAL("xyz", Request.Body.c_str());
  CHECK(State::Empty == Receiver.next(Limits));
}

TEST(RequestReceiver, KeepsTheRequestsThatFollow) {
  CHECK(State::Complete ==
        Receiver.add("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n"
                     "0\r\nTrailer: t\r\n\r\nGET /3",
                     Limits));
  STRCMP_EQUAL("/1", Receiver.take().Path.c_str());
  CHECK(State::Complete == Receiver.next(Limits));
  STRCMP_EQUAL("abc", Receiver.take().Body.c_str());
  CHECK(State::InHeader == Receiver.next(Limits));
}

// Guards against bad credentials that a second header hides, and against an
// empty header that counts as none.
TEST(RequestReceiver, KeepsEachAuthorizationHeader) {
  const auto AuthorizationOf = [&](const std::string &Headers) {
    CHECK(State::Complete ==
          Receiver.add("GET / HTTP/1.1\r\n" + Headers + "\r\n", Limits));
    auto Found = Receiver.take().authorization();
    Receiver = RequestReceiver();
    return Found;
  };
  CHECK_FALSE(AuthorizationOf("Host: h\r\n").has_value());
  STRCMP_EQUAL("", AuthorizationOf("Authorization:  \r\n")->c_str());
  STRCMP_EQUAL("Bearer k2, Bearer k1",
               AuthorizationOf("Authorization: Bearer k2\r\n"
                               "authorization: Bearer k1\r\n")
                   ->c_str());
}

// Guards against bodies that are read in whole before they are refused.
TEST(RequestReceiver, RefusesAnAnnouncedBodyBeforeItArrives) {
  checkRefused("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
               ResultCode::BodyTooLarge);
  checkRefused(
      "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
      ResultCode::MalformedRequest);
}

// Guards against endless chunks, and against lines and trailers without end.
TEST(RequestReceiver, CutsChunkedBodiesAtTheLimit) {
  const std::string Header =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  checkRefused(Header + "3e9\r\n", ResultCode::BodyTooLarge);
  std::string Chunks;
  for (int I = 0; I < 1001; ++I)
    Chunks += "1\r\nx\r\n";
  checkRefused(Header + Chunks, ResultCode::BodyTooLarge);
  checkRefused(Header + "1;" + std::string(300, 'x'),
               ResultCode::MalformedRequest);
  checkRefused(Header + "ffffffffff\r\n", ResultCode::MalformedRequest);
  checkRefused(Header + "-1\r\n", ResultCode::MalformedRequest);
  std::string Trailers;
  for (int I = 0; I < 1000; ++I)
    Trailers += "A: b\r\n";
  checkRefused(Header + "0\r\n" + Trailers, ResultCode::MalformedRequest);
}

// Guards against a second request that is hidden in the body of the first.
TEST(RequestReceiver, RefusesAmbiguousLengths) {
  checkRefused("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
               "Transfer-Encoding: chunked\r\n\r\n",
               ResultCode::MalformedRequest);
  checkRefused("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
               ResultCode::MalformedRequest);
  checkRefused("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
               ResultCode::MalformedRequest);
}

// Guards against headers of any size made of short or of long fields.
TEST(RequestReceiver, LimitsFieldsAndBytesOfTheHeader) {
  std::string Fields;
  for (int I = 0; I < 101; ++I)
    Fields += "A" + std::to_string(I) + ":b\r\n";
  checkRefused("GET / HTTP/1.1\r\n" + Fields + "\r\n",
               ResultCode::HeadersTooLarge);
  checkRefused("GET /" + std::string(2000, 'x'), ResultCode::HeadersTooLarge);
  checkRefused("\x16\x03\x01 not HTTP\r\n\r\n", ResultCode::MalformedRequest);
}

// Guards against memory of the body that exceeds what it announced.
TEST(RequestReceiver, HoldsLittleMoreThanTheBody) {
  Limits.BodyBytes = 1 << 20;
  Receiver.add("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n", Limits);
  for (int I = 0; I < 19; ++I)
    Receiver.add(std::string(10000, 'x'), Limits);
  CHECK(Receiver.bytesHeld() <= 201024);
  LONGS_EQUAL(190000, Receiver.bodyBytes());
}

// Guards against inputs that crash the receiver or make it hold more than its
// limits: requests with random changes, in random pieces, with fixed seeds.
TEST(RequestReceiver, StaysWithinItsLimitsForRandomInput) {
  const std::string Valid =
      "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
      "POST /q/2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.0\r\nConnection: close\r\n\r\n";
  for (unsigned Seed = 1; Seed <= 3000; ++Seed) {
    std::mt19937 Random(Seed);
    std::string Text = Valid;
    for (unsigned I = Random() % 8; I > 0; --I) {
      const std::size_t At = Random() % Text.size();
      if (Random() % 2)
        Text[At] = static_cast<char>(Random());
      else
        Text.insert(At, Text.substr(Random() % Text.size(), Random() % 40));
    }
    RequestReceiver Fuzzed;
    std::size_t At = 0;
    while (At < Text.size() && Fuzzed.state() != State::Refused) {
      const std::size_t Count = 1 + Random() % 30;
      Fuzzed.add(std::string_view(Text).substr(At, Count), Limits);
      At += Count;
      while (Fuzzed.state() == State::Complete) {
        CHECK(Fuzzed.take().Body.size() <= Limits.BodyBytes);
        Fuzzed.next(Limits);
      }
      CHECK(Fuzzed.bytesHeld() <= 8192);
    }
  }
}
