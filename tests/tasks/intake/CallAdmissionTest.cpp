#include "tasks/intake/CallAdmission.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(CallAdmission) {
  std::shared_ptr<QueueConfig> Config = std::make_shared<QueueConfig>();

  void setup() override {
    Config->Version = 4;
    QueueRule Short;
    Short.Name = "short";
    Short.Host = "h.example";
    Short.Prefix = "/a/";
    QueueRule Long = Short;
    Long.Name = "long";
    Long.Prefix = "/a/b/";
    QueueRule AnonymousQueue = Short;
    AnonymousQueue.Name = "open";
    AnonymousQueue.Prefix = "/open/";
    AnonymousQueue.Anonymous = true;
    Config->Queues = {Short, Long, AnonymousQueue};
    Config->Keys["k1"] = WorkspaceId("team");
  }

  Expected<AdmittedCall> call(const std::string &Path,
                              const std::string &Authorization,
                              int AgeMs = 100) {
    return admitCall(Config, Milliseconds(AgeMs), Milliseconds(4700),
                     "h.example:8080", Path, Authorization);
  }
};

TEST(CallAdmission, ChoosesTheLongestPrefix) {
  const auto Call = call("/a/b/00aa", "Bearer k1");
  STRCMP_EQUAL("long", Call->Queue->Name.c_str());
  STRCMP_EQUAL("00aa", Call->PathSuffix.c_str());
  STRCMP_EQUAL("team", Call->Workspace.str().c_str());
}

TEST(CallAdmission, RejectsUnknownPathsAndKeys) {
  CHECK(ResultCode::UnknownPath == call("/c/1", "Bearer k1").error().Code);
  CHECK(ResultCode::WrongToken == call("/a/1", "Bearer k2").error().Code);
  CHECK(ResultCode::WrongToken == call("/a/1", "Bearer ").error().Code);
  CHECK(ResultCode::MissingToken == call("/a/1", "").error().Code);
  CHECK(ResultCode::MissingToken == call("/a/1", "Basic k1").error().Code);
  Config.reset();
  CHECK(ResultCode::Starting == call("/a/1", "Bearer k1").error().Code);
}

TEST(CallAdmission, RejectsKeysOnceTheConfigurationMayBeStale) {
  CHECK_TRUE(call("/a/1", "Bearer k1", 4699).has_value());
  CHECK(ResultCode::StoreUnavailable ==
        call("/a/1", "Bearer k1", 4700).error().Code);
}

TEST(CallAdmission, AdmitsCallsWithoutKeyToAnonymousQueuesAtAnyAge) {
  CHECK_TRUE(call("/open/1", "", 60000).has_value());
  CHECK_TRUE(call("/open/1", "Bearer unknown").has_value());
}
