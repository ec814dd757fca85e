#include "cli/Printing.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(Printing){};

TEST(Printing, AlignsColumns) {
  std::ostringstream Out;
  printTable(Out, {{"id", "state"}, {"j-10", "done"}});
  STRCMP_EQUAL("id    state\nj-10  done\n", Out.str().c_str());
}

TEST(Printing, LooksIntoInnerObjects) {
  const auto Row = parseObject(R"({"spec":{"workspace":"w"},"tasks":3})");
  STRCMP_EQUAL("w", column(Row, "spec.workspace").c_str());
  STRCMP_EQUAL("3", column(Row, "tasks").c_str());
}

TEST(Printing, MarksWhatIsMissing) {
  const auto Row = parseObject("{}");
  STRCMP_EQUAL("-", column(Row, "spec.workspace").c_str());
  POINTERS_EQUAL(nullptr, parseObject("no JSON").get());
}
