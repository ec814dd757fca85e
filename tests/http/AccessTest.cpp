#include "http/Access.h"
#include "base/Text.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(Access) {
  Configuration CurrentConfig;
  HttpRequest Request;

  void setup() override {
    CurrentConfig.Workspaces["shed"].TokenDigests = {sha256Hex("one"),
                                                     sha256Hex("two")};
    CurrentConfig.Operators["yuki"].TokenDigest = sha256Hex("boss");
  }
  void token(const std::string &Text) {
    Request.Headers["authorization"] = "Bearer " + Text;
  }
  ResultCode codeOf(const Expected<Identity> &Found) {
    return Found ? ResultCode::Ok : Found.error().Code;
  }
};

TEST(Access, AuthenticatesCallersAndOperatorsByTheirTokens) {
  token("two");
  STRCMP_EQUAL("shed", authenticate(Request, CurrentConfig)->Workspace.c_str());
  token("boss");
  STRCMP_EQUAL("yuki", authenticate(Request, CurrentConfig)->Operator.c_str());
}

TEST(Access, RefusesAMissingAndAWrongToken) {
  CHECK_TRUE(ResultCode::MissingToken ==
             codeOf(authenticate(Request, CurrentConfig)));
  token("wrong");
  CHECK_TRUE(ResultCode::WrongToken ==
             codeOf(authenticate(Request, CurrentConfig)));
}

// Guards against credentials that are there and count as none, for how their
// header is written.
TEST(Access, ReadsTheSchemeInAnyCase) {
  Request.Headers["authorization"] = "bearer  one ";
  STRCMP_EQUAL("shed", authenticate(Request, CurrentConfig)->Workspace.c_str());
  Request.Headers["authorization"] = "bearer wrong";
  CHECK_TRUE(ResultCode::WrongToken ==
             codeOf(authenticate(Request, CurrentConfig)));
  for (const char *Bad : {"", "Basic one", "one"}) {
    Request.Headers["authorization"] = Bad;
    CHECK_TRUE(ResultCode::MissingToken ==
               codeOf(authenticate(Request, CurrentConfig)));
  }
}

// Guards against a token that nobody has and an empty digest that matches it.
TEST(Access, RefusesAnEmptyToken) {
  CurrentConfig.Workspaces["shed"].TokenDigests = {sha256Hex("")};
  token("");
  CHECK_TRUE(ResultCode::WrongToken ==
             codeOf(authenticate(Request, CurrentConfig)));
}

TEST(Access, FailsWithStartingBeforeTheFirstConfiguration) {
  token("one");
  CHECK_TRUE(ResultCode::Starting == codeOf(authenticate(Request, {})));
}

TEST(Access, RefusesACallerOnOperatorRequests) {
  token("one");
  CHECK_TRUE(ResultCode::WrongWorkspace ==
             codeOf(authenticateOperator(Request, CurrentConfig)));
}

TEST(Access, LetsACallerAccessOnlyItsOwnWorkspace) {
  token("one");
  const auto Found = authenticate(Request, CurrentConfig);
  CHECK_TRUE(Found->mayAccess("shed"));
  CHECK_FALSE(Found->mayAccess("other"));
}
