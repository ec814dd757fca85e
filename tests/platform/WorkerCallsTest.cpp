#include "platform/WorkerCalls.h"
#include "http/HttpServer.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(WorkerCalls){
    static std::unique_ptr<WorkerLink> linkTo(const std::string &Address){
        WorkerHeartbeat Heartbeat;
Heartbeat.Id = "i-1";
Heartbeat.Address = Address;
return platform::makeWorkerLink(Heartbeat);
}
}
;

TEST(WorkerCalls, TellsARefusedConnectionFromAListeningWorker) {
  auto Server = serveHttp("127.0.0.1:0", HttpLimits(),
                          [](const HttpRequest &) { return HttpResponse(); });
  CHECK_TRUE(Server.has_value());
  CHECK_TRUE(linkTo((*Server)->address())->isListening());
  CHECK_FALSE(linkTo("127.0.0.1:1")->isListening());
}

TEST(WorkerCalls, ReportsThatAnUnreachableWorkerStartedNothing) {
  const OrderAnswer Answer =
      linkTo("127.0.0.1:1")
          ->start({"j.0.0.0", 1, "", ""}, Milliseconds(1), Epoch(1));
  CHECK(CallOutcome::Refused == Answer.Outcome);
  LONGS_EQUAL(wire::REFUSED_UNHEALTHY, Answer.Reason);
}

// Guards against a worker that stays its agent's worker although another one
// answers at its address.
TEST(WorkerCalls, TellsThatAnotherWorkerAnswers) {
  auto Server = serveHttp("127.0.0.1:0", HttpLimits(), [](const HttpRequest &) {
    HttpResponse Response;
    Response.Status = 421;
    Response.Body = R"({"clock_ms":1,"born":9})";
    return Response;
  });
  const auto Runs =
      linkTo((*Server)->address())
          ->renewAndList(Milliseconds(0), 0, Milliseconds(0), Epoch(1));
  CHECK(ResultCode::WorkerReplaced == Runs.error().Code);
}
