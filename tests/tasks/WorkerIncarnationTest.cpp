#include "tasks/WorkerIncarnation.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(WorkerIncarnation){};

TEST(WorkerIncarnation, NamesItsNode) {
  const WorkerIncarnation Worker = incarnationOf(NodeId("n1"), "i-1", 7);
  STRCMP_EQUAL("n1/i-1#7", Worker.str().c_str());
  STRCMP_EQUAL("n1", nodeOf(Worker).str().c_str());
  STRCMP_EQUAL("n1",
               nodeOf(departedIncarnation(NodeId("n1"), 1)).str().c_str());
}

TEST(WorkerIncarnation, RecognizesADepartedWorker) {
  CHECK_TRUE(isDeparted(departedIncarnation(NodeId("n1"), 12)));
  CHECK_FALSE(isDeparted(incarnationOf(NodeId("n1"), "nonesuch", 7)));
  CHECK_FALSE(isDeparted(incarnationOf(NodeId("none"), "i-1", 7)));
  CHECK_FALSE(isDeparted(WorkerIncarnation()));
}
