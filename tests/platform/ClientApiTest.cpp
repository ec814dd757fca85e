#include "platform/ClientApi.h"
#include "FakeKv.h"
#include "WaitUntil.h"
#include "platform/Codec.h"
#include "tasks/StoreKeys.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::platform;

namespace {

const std::string ConfigJson = R"({"version":7,"routes":[
  {"name":"q","host":"h","prefix":"/q/","target_latency_ms":400,"priority":1,
   "service":"s","max_attempts":4,"stretch":1.5,"allow_anonymous":false},
  {"name":"open","host":"h","prefix":"/open/","target_latency_ms":400,
   "priority":1,"service":"s","max_attempts":4,"stretch":1.5,
   "allow_anonymous":true}],
  "services":[{"name":"s"}],
  "tenants":[{"name":"one","api_keys":["key-one"]},
             {"name":"two","api_keys":["key-two"]}]})";

const std::string JobJson = R"({"spec":"text","steps":[
  {"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900}]})";

const std::string JobText = "00000000000000aa";

} // namespace

TEST_GROUP(ClientApi) {
  FakeKv Kv;
  ConfigFollower Config{Kv, OperatorPrefix, ConfigKey, readConfig};
  JobCatalog Catalog{nullptr};
  JobIntake Intake{Kv, Catalog};
  Metrics Stats;
  ClientApi Api{Config, Intake, Catalog, Milliseconds(60000), Stats};

  void setup() override {
    Kv.put(ConfigKey, ConfigJson);
    Config.start();
    CHECK_TRUE(waitUntil([&] { return Config.current() != nullptr; }));
  }
  void teardown() override { Config.stop(); }

  HttpResponse call(const std::string &Method, const std::string &Path,
                    const std::string &Key) {
    HttpRequest Request;
    Request.Method = Method;
    Request.Path = Path;
    Request.Headers["host"] = "h";
    if (!Key.empty())
      Request.Headers["authorization"] = "Bearer " + Key;
    if (Method == "POST")
      Request.Body = JobJson;
    return Api.answer(Request);
  }

  int status(const std::string &Method, const std::string &Path,
             const std::string &Key) {
    return call(Method, Path, Key).Status;
  }
};

// Guards against keys of one workspace that read, cancel or overwrite the jobs
// of another.
TEST(ClientApi, RefusesKeysOfOtherWorkspaces) {
  LONGS_EQUAL(200, status("POST", "/q/" + JobText, "key-one"));
  for (const char *Method : {"GET", "POST", "DELETE"}) {
    const HttpResponse Refused = call(Method, "/q/" + JobText, "key-two");
    LONGS_EQUAL(403, Refused.Status);
    STRCMP_CONTAINS("1103", Refused.Body.c_str());
    STRCMP_CONTAINS("not run", Refused.Body.c_str());
    LONGS_EQUAL(401, status(Method, "/q/" + JobText, "key-three"));
    LONGS_EQUAL(401, status(Method, "/q/" + JobText, ""));
  }
  LONGS_EQUAL(200, status("GET", "/q/" + JobText, "key-one"));
  LONGS_EQUAL(200, status("DELETE", "/q/" + JobText, "key-one"));
}

// Guards against a withdrawn key that submits, reads and cancels jobs of a
// queue that admits calls without a key.
TEST(ClientApi, RefusesUnknownKeysOnAnOpenQueue) {
  LONGS_EQUAL(200, status("POST", "/open/" + JobText, ""));
  for (const char *Method : {"GET", "POST", "DELETE"}) {
    const HttpResponse Refused = call(Method, "/open/" + JobText, "key-three");
    LONGS_EQUAL(401, Refused.Status);
    STRCMP_CONTAINS("1102", Refused.Body.c_str());
    STRCMP_CONTAINS("not run", Refused.Body.c_str());
    CHECK(Refused.Body.find("key-three") == std::string::npos);
  }
  LONGS_EQUAL(401, status("GET", "/open/", "key-three"));
  LONGS_EQUAL(200, status("GET", "/open/", ""));
  LONGS_EQUAL(200, status("GET", "/open/" + JobText, ""));
  // A job of a workspace: the key is refused before the job is looked at.
  LONGS_EQUAL(200, status("POST", "/open/00000000000000ab", "key-one"));
  LONGS_EQUAL(401, status("GET", "/open/00000000000000ab", "key-three"));
  LONGS_EQUAL(403, status("GET", "/open/00000000000000ab", ""));
}

// The number of waiting jobs is not part of any job.
TEST(ClientApi, TellsTheNumberOfWaitingJobsToEveryKey) {
  LONGS_EQUAL(200, status("POST", "/q/" + JobText, "key-one"));
  const HttpResponse Waiting = call("GET", "/q/", "key-two");
  LONGS_EQUAL(200, Waiting.Status);
  STRCMP_CONTAINS("\"waiting\":1", Waiting.Body.c_str());
}

TEST(ClientApi, SharesJobsWithoutAKeyWithAllCallersOfTheirQueue) {
  LONGS_EQUAL(200, status("POST", "/open/" + JobText, ""));
  LONGS_EQUAL(200, status("GET", "/open/" + JobText, "key-two"));
  LONGS_EQUAL(403, status("GET", "/q/" + JobText, "key-two"));
  LONGS_EQUAL(200, status("DELETE", "/open/" + JobText, ""));
}

// Guards against an open queue that gives access to the jobs of a workspace.
TEST(ClientApi, RefusesCallersWithoutAKeyForTheJobsOfAWorkspace) {
  LONGS_EQUAL(200, status("POST", "/open/" + JobText, "key-one"));
  LONGS_EQUAL(403, status("GET", "/open/" + JobText, ""));
  LONGS_EQUAL(403, status("DELETE", "/open/" + JobText, ""));
  LONGS_EQUAL(200, status("DELETE", "/open/" + JobText, "key-one"));
}

// Guards against entries in the store for texts that no job can have as its id.
TEST(ClientApi, LeavesNothingInTheStoreForAnInvalidId) {
  LONGS_EQUAL(410, status("DELETE", "/q/no-id", "key-one"));
  LONGS_EQUAL(0, Kv.list(keys::All)->Items.size());
  LONGS_EQUAL(410, status("DELETE", "/q/" + JobText, "key-one"));
  LONGS_EQUAL(1, Kv.list(keys::Tombstones)->Items.size());
}
