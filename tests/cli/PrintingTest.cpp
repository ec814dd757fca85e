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

TEST(Printing, ReadsFieldsOfNestedObjects) {
  const auto Row = parseObject(R"({"spec":{"workspace":"w"},"tasks":3})");
  STRCMP_EQUAL("w", nestedFieldText(Row, "spec.workspace").c_str());
  STRCMP_EQUAL("3", nestedFieldText(Row, "tasks").c_str());
}

TEST(Printing, PrintsADashForMissingFields) {
  const auto Row = parseObject("{}");
  STRCMP_EQUAL("-", nestedFieldText(Row, "spec.workspace").c_str());
  POINTERS_EQUAL(nullptr, parseObject("no JSON").get());
}
