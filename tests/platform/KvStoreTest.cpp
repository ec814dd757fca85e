#include "platform/KvStore.h"
#include "http/HttpServer.h"

#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::platform;

TEST_GROUP(KvStore) {
  HttpResponse Response;
  HttpRequest LastRequest;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<TransactionalStore> Kv;

  void setup() override {
    HttpLimits Limits;
    Limits.Threads = 4;
    Server = std::move(
        *serveHttp("127.0.0.1:0", Limits, [this](const HttpRequest &Request) {
          LastRequest = Request;
          return Response;
        }));
    Kv = makeKvStore(Server->address());
  }

  void respond(int Status, const std::string &Body) {
    Response.Status = Status;
    Response.Body = Body;
  }
};

TEST(KvStore, ReadsAnItem) {
  respond(200, R"({"key":"a","value":"bm9kZS0x","revision":412,"created":400,
                  "lease":0,"current_rev":530})");
  const auto Item = Kv->read("a b/c");
  STRCMP_EQUAL("node-1", (*Item)->Value.c_str());
  LONGS_EQUAL(412, (*Item)->Revision);
  STRCMP_EQUAL("a b/c", LastRequest.query("key").c_str());
}

TEST(KvStore, DistinguishesAnAbsentItemFromAnUnavailableStore) {
  respond(404, "{}");
  CHECK_TRUE(Kv->read("a").has_value());
  CHECK_FALSE(Kv->read("a")->has_value());
  respond(503, "{}");
  CHECK(ResultCode::StoreUnavailable == Kv->read("a").error().Code);
  respond(429, "{}");
  CHECK(ResultCode::StoreUnavailable == Kv->read("a").error().Code);
}

TEST(KvStore, SendsATransactionAndReadsSuccessAndConflict) {
  respond(200, R"({"revision":9})");
  const auto Committed = Kv->commit({{{"r", 0}}, {{"k", "v", 7}}, {"gone"}});
  LONGS_EQUAL(9, *Committed->Revision);
  CHECK(LastRequest.Body.find("\"value\":\"dg==\"") != std::string::npos);
  respond(412, R"({"items":[{"key":"r","value":"eA==","revision":3}]})");
  const auto Refused = Kv->commit({{{"r", 0}}, {}, {}});
  CHECK_FALSE(Refused->Revision.has_value());
  LONGS_EQUAL(3, Refused->Current.at(0).Revision);
}

TEST(KvStore, ReportsALostAnswerWhenTheResponseIsMalformed) {
  respond(200, "no json");
  CHECK(ResultCode::StoreAnswerLost == Kv->commit({}).error().Code);
  CHECK(ResultCode::StoreAnswerLost == Kv->read("a").error().Code);
  respond(200, "{}");
  CHECK(ResultCode::StoreAnswerLost == Kv->commit({}).error().Code);
  CHECK(ResultCode::StoreAnswerLost == Kv->list("p").error().Code);
}

TEST(KvStore, ReportsACompactedHistory) {
  respond(410, "{}");
  CHECK(ResultCode::CompareFailed ==
        Kv->changes("p", 4, Milliseconds(10)).error().Code);
}

TEST(KvStore, ReadsDeletionsAndSkipsMalformedItems) {
  respond(200, R"({"events":[{"key":"a","revision":5,"deleted":true},
      {"key":7},{"key":"b","value":"%%","revision":"x"}],"current_rev":6})");
  const auto Changes = Kv->changes("p", 4, Milliseconds(10));
  LONGS_EQUAL(1, Changes->Items.size());
  LONGS_EQUAL(0, Changes->Items[0].Revision);
  LONGS_EQUAL(6, Changes->Revision);
}

TEST(KvStore, ReportsAnUnavailableStoreWhenTheConnectionIsRefused) {
  const std::string Address = Server->address();
  Server.reset();
  const auto Unreachable = makeKvStore(Address);
  CHECK(ResultCode::StoreUnavailable == Unreachable->commit({}).error().Code);
  (void)Unreachable->commit({});
  CHECK_TRUE(Unreachable->health().isUnavailable(BootClock::now()));
}
