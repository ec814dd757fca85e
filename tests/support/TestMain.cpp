#include "base/Log.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

int main(int ArgumentCount, char **Arguments) {
  // Libraries keep caches for the life of the process, which are no leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  baobabcove::startLogging("tests", "tests", baobabcove::LogFormat::Text);
  log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
  CommandLineTestRunner Runner(ArgumentCount, Arguments,
                               TestRegistry::getCurrentRegistry());
  return Runner.runAllTestsMain();
}
