#include "base/HttpClient.h"
#include "wire.pb.h"

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

TEST(HttpClient, ReportsAnUnreachablePeerWhenTheConnectionIsRefused) {
  HttpClient Client("127.0.0.1:1");
  const auto Response = Client.call({});
  CHECK_TRUE(!Response.has_value());
  CHECK_TRUE(ResultCode::PeerUnreachable == Response.error().Code);
}
