#include "baobabcove/ResultCode.h"
#include "base/Text.h"

#include <set>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

/// Formats the table as in docs/RESULT_CODES.md.
std::string printedTable() {
  std::ostringstream Out;
  for (const ResultInfo &Row : resultTable())
    Out << "| " << static_cast<std::uint32_t>(Row.Code) << " | " << Row.Name
        << " | " << outcomeName(Row.RunOutcome) << " | " << Row.HttpStatus
        << " | " << Row.NextStep << " |\n";
  return Out.str();
}

} // namespace

TEST_GROUP(ResultCode){};

TEST(ResultCode, HasUniqueNumbersAndNames) {
  std::set<ResultCode> Numbers;
  std::set<std::string> Names;
  for (const ResultInfo &Row : resultTable()) {
    CHECK_TRUE(Numbers.insert(Row.Code).second);
    CHECK_TRUE(Names.insert(std::string(Row.Name)).second);
  }
}

TEST(ResultCode, IsDocumentedCompletely) {
  std::string Docs;
  CHECK_TRUE(
      readFile(std::string(SOURCE_FOLDER) + "/docs/RESULT_CODES.md", Docs));
  const bool Same = Docs.find(printedTable()) != std::string::npos;
  CHECK_TEXT(Same,
             ("docs/RESULT_CODES.md must hold:\n" + printedTable()).c_str());
}

TEST(ResultCode, TreatsAnUnknownNumberAsOutcomeUnknown) {
  const ResultInfo &Row = resultInfo(static_cast<ResultCode>(9999));
  STRCMP_EQUAL("OutcomeUnknown", std::string(Row.Name).c_str());
}
