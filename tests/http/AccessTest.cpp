#include "http/Access.h"
#include "base/Text.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(Access) {
  Configuration Present;
  HttpRequest Request;

  void setup() override {
    Present.Workspaces["shed"].TokenDigests = {sha256Hex("one"),
                                               sha256Hex("two")};
    Present.Operators["yuki"].TokenDigest = sha256Hex("boss");
  }
  void token(const std::string &Text) {
    Request.Headers["authorization"] = "Bearer " + Text;
  }
  ResultCode codeOf(const Expected<Identity> &Found) {
    return Found ? ResultCode::Ok : Found.error().Code;
  }
};

TEST(Access, KnowsCallersAndOperatorsByTheirTokens) {
  token("two");
  STRCMP_EQUAL("shed", identify(Request, Present)->Workspace.c_str());
  token("boss");
  STRCMP_EQUAL("yuki", identify(Request, Present)->Operator.c_str());
}

TEST(Access, RefusesNoTokenAndAWrongOne) {
  CHECK_TRUE(ResultCode::MissingToken == codeOf(identify(Request, Present)));
  token("wrong");
  CHECK_TRUE(ResultCode::WrongToken == codeOf(identify(Request, Present)));
}

TEST(Access, CallsNoTokenWrongBeforeThereIsAConfiguration) {
  token("one");
  CHECK_TRUE(ResultCode::Starting == codeOf(identify(Request, {})));
}

TEST(Access, RefusesACallerWhatIsForOperators) {
  token("one");
  CHECK_TRUE(ResultCode::WrongWorkspace ==
             codeOf(identifyOperator(Request, Present)));
}

TEST(Access, LetsACallerSeeOnlyItsOwnWorkspace) {
  token("one");
  const auto Found = identify(Request, Present);
  CHECK_TRUE(Found->maySee("shed"));
  CHECK_FALSE(Found->maySee("other"));
}
