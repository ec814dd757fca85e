#include "baobabcove/StateChart.h"
#include "base/StateMachine.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

const char *const Door = "initial: shut\n"
                         "final: [gone]\n"
                         "events: [open, close, burn]\n"
                         "states:\n"
                         "  shut: {open: ajar, burn: gone}\n"
                         "  ajar: {close: shut}\n";

std::string parseError(const std::string &Text) {
  const auto Chart = StateChart::parse(Text, "t.yaml");
  return Chart ? std::string() : Chart.error().Detail;
}

} // namespace

TEST_GROUP(StateChart){};

TEST(StateChart, FollowsTransitions) {
  const auto Chart = StateChart::parse(Door, "door");
  CHECK_TRUE(Chart.has_value());
  STRCMP_EQUAL("ajar", Chart->next("shut", "open")->c_str());
  CHECK_TRUE(Chart->isFinal("gone"));
}

TEST(StateChart, RefusesAnEventThatTheStateDoesNotAllow) {
  const auto Chart = StateChart::parse(Door, "door");
  const auto Next = Chart->next("ajar", "burn");
  CHECK_TRUE(!Next.has_value());
  CHECK_TRUE(ResultCode::EventNotAllowed == Next.error().Code);
}

TEST(StateChart, ReportsUnreachableStatesAndUnusedEvents) {
  STRCMP_EQUAL("t.yaml: No state takes the event c. State z cannot be reached.",
               parseError("initial: x\nfinal: [y]\nevents: [a, c]\n"
                          "states:\n  x: {a: y}\n  z: {a: y}\n")
                   .c_str());
}

TEST(StateChart, ReportsTransitionsToUndeclaredStates) {
  STRCMP_EQUAL("t.yaml: State q is not declared.",
               parseError("initial: x\nfinal: []\nevents: [a]\n"
                          "states:\n  x: {a: q}\n")
                   .c_str());
}

TEST(StateChart, LoadsTheChartsOfTheRepository) {
  const auto Charts = StateCharts::load(std::string(SOURCE_FOLDER) + "/charts");
  CHECK_TEXT(Charts.has_value(), Charts ? "" : Charts.error().Detail.c_str());
}

TEST(StateChart, CountsEventsThatAreNotAllowed) {
  const auto Chart = StateChart::parse(Door, "door");
  Metrics Stats;
  StateMachine Machine(*Chart, Stats);
  CHECK_TRUE(Machine.applyEvent("open"));
  CHECK_FALSE(Machine.applyEvent("burn"));
  STRCMP_EQUAL("ajar", Machine.state().c_str());
  LONGS_EQUAL(1, Stats.dump()->getValue<int>(EventsNotAllowed));
}
