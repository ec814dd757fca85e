#include "platform/PlatformSettings.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::platform;

namespace {

const std::string Valid = "node=n1\nzone=z\nip=10.0.0.1\n"
                          "platform.address=10.0.0.2:80\n"
                          "port_range=7000,7015\nbounds.revoke_ms=4000\n"
                          "bounds.grace_s=6\nfuture.field=x=y\nnoise\n";

} // namespace

TEST_GROUP(PlatformSettings){};

TEST(PlatformSettings, ReadsKnownSettingsAndIgnoresOthers) {
  const auto Parsed = parsePlatformSettings(Valid);
  STRCMP_EQUAL("n1", Parsed->Node.str().c_str());
  LONGS_EQUAL(7000, Parsed->RpcPort);
  LONGS_EQUAL(4000, Parsed->KeyRevocationBound.count());
  LONGS_EQUAL(6000, Parsed->StopGracePeriod.count());
  LONGS_EQUAL(120000, Parsed->StatusRetention.count());
  LONGS_EQUAL(128, Parsed->MemoryMb);
}

// Guards against a memory budget that does not follow the machine.
TEST(PlatformSettings, ReadsTheMemoryOfTheMachine) {
  LONGS_EQUAL(
      512, parsePlatformSettings(Valid + "limits.memory_mb=512\n")->MemoryMb);
}

TEST(PlatformSettings, RefusesMissingAndMalformedSettings) {
  for (const char *Text : {"", "node=n1\n", "node=n1\nzone=z\nip=1.1.1.1\n"})
    CHECK(ResultCode::SettingsInvalid ==
          parsePlatformSettings(Text).error().Code);
  for (const char *Line :
       {"port_range=0,5", "port_range=x", "port_range=70000,70001",
        "bounds.revoke_ms=soon", "bounds.grace_s=-1",
        "bounds.remote_penalty=far", "limits.cpu_share=half",
        "runtime_model=maybe", "bounds.restore_ms=-5", "limits.memory_mb=0",
        "limits.memory_mb=-1", "limits.memory_mb=all"})
    CHECK(ResultCode::SettingsInvalid ==
          parsePlatformSettings(Valid + Line + "\n").error().Code);
}

// Guards against a deployment on which the gain of the learned run times cannot
// be measured.
TEST(PlatformSettings, ReadsWhetherRunTimesAreLearned) {
  CHECK_TRUE(parsePlatformSettings(Valid)->LearnsRunTimes);
  CHECK_TRUE(
      parsePlatformSettings(Valid + "runtime_model=on\n")->LearnsRunTimes);
  CHECK_FALSE(
      parsePlatformSettings(Valid + "runtime_model=off\n")->LearnsRunTimes);
  LONGS_EQUAL(700, parsePlatformSettings(Valid + "bounds.restore_ms=700\n")
                       ->Restore.count());
}

// Pattern: starts are limited in time on a deployment that asks for no bound.
TEST(PlatformSettings, ReadsTheBoundOfEvacuations) {
  LONGS_EQUAL(0, parsePlatformSettings(Valid)->EvacuationBound.count());
  LONGS_EQUAL(5000, parsePlatformSettings(Valid + "bounds.evacuate_ms=5000\n")
                        ->EvacuationBound.count());
}
