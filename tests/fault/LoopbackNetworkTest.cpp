#include "TaskDeployment.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove::testing;

TEST_GROUP(LoopbackNetwork){};

// Guards against two deployments that share the addresses of their daemons
// because the process ids of their tests have the same last byte.
TEST(LoopbackNetwork, HasAddressesOfItsOwnWhileItIsInUse) {
  constexpr unsigned SecondOctet = 128;
  std::string Released;
  {
    const LoopbackNetwork One(SecondOctet);
    const LoopbackNetwork Other(SecondOctet);
    CHECK_FALSE(One.address(0) == Other.address(0));
    Released = One.address(0);
  }
  const LoopbackNetwork Next(SecondOctet);
  STRCMP_EQUAL(Released.c_str(), Next.address(0).c_str());
}
