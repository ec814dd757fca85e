#include "base/Log.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

int main(int ArgumentCount, char **Arguments) {
  // Libraries keep caches until the process exits, which would be reported as
  // leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  baobabcove::startLogging("tests", "tests", baobabcove::LogFormat::Text);
  log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
  CommandLineTestRunner Runner(ArgumentCount, Arguments,
                               TestRegistry::getCurrentRegistry());
  return Runner.runAllTestsMain();
}
