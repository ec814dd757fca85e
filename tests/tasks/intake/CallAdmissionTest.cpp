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
                              const std::optional<std::string> &Authorization,
                              int AgeMs = 100) {
    return admitCall(Config, Milliseconds(AgeMs), Milliseconds(4700),
                     "h.example:8080", Path, BearerCredentials(Authorization));
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
  CHECK(ResultCode::MissingToken == call("/a/1", std::nullopt).error().Code);
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
  CHECK_TRUE(call("/open/1", std::nullopt, 60000).has_value());
}

// Guards against a withdrawn key that still runs jobs where a key is not
// needed: a key that was not found counted as none.
TEST(CallAdmission, RejectsBadCredentialsOnAnonymousQueues) {
  CHECK(ResultCode::WrongToken == call("/open/1", "Bearer k2").error().Code);
  CHECK(ResultCode::WrongToken == call("/open/1", "bearer k2").error().Code);
  CHECK(ResultCode::WrongToken == call("/open/1", "Bearer ").error().Code);
  CHECK(ResultCode::WrongToken == call("/open/1", "Bearer").error().Code);
  CHECK(ResultCode::MissingToken == call("/open/1", "Basic k1").error().Code);
  CHECK(ResultCode::MissingToken == call("/open/1", "k1").error().Code);
  CHECK(ResultCode::MissingToken == call("/open/1", "  ").error().Code);
  CHECK(ResultCode::WrongToken ==
        call("/open/1", "Bearer k1, Bearer k2").error().Code);
  Config->Keys[""] = WorkspaceId("team");
  CHECK(ResultCode::WrongToken == call("/open/1", "Bearer ").error().Code);
  CHECK(ResultCode::MissingToken == call("/a/1", std::nullopt).error().Code);
}

// Guards against a key that is not known yet, or not any more, to an entry
// whose configuration is old: it runs nothing, and is not called wrong either.
TEST(CallAdmission, DecidesOnNoKeyByAStaleConfiguration) {
  for (const char *Key : {"Bearer k1", "Bearer k2"})
    CHECK(ResultCode::StoreUnavailable ==
          call("/open/1", Key, 4700).error().Code);
  CHECK(ResultCode::MissingToken ==
        call("/open/1", "Basic k1", 4700).error().Code);
}

// Guards against a valid key that counts as none for how its header is written,
// so that the job belongs to nobody.
TEST(CallAdmission, ReadsAKeyHoweverItsHeaderIsWritten) {
  for (const char *Written :
       {"Bearer k1", "bearer k1", "BEARER  k1", "Bearer\tk1 ", " Bearer k1"})
    for (const char *Path : {"/open/1", "/a/1"}) {
      const auto Call = call(Path, Written);
      CHECK_TRUE(Call.has_value());
      STRCMP_EQUAL("team", Call->Workspace.str().c_str());
    }
}

// Guards against a refusal that gives a key away.
TEST(CallAdmission, TellsNothingOfTheKeyInARefusal) {
  for (const char *Bad : {"Bearer secret", "Basic secret", "secret"})
    CHECK(call("/open/1", Bad).error().Detail.find("secret") ==
          std::string::npos);
}
