//===-- Main.cpp - Stand-ins of the platform, its workers and clients -----===//

#include "Programs.h"

#include <iostream>

#include <unistd.h>

namespace review {

Poco::ThreadPool &threadPool() {
  constexpr int MinThreads = 8;
  constexpr int MaxThreads = 512;
  static Poco::ThreadPool Threads(MinThreads, MaxThreads);
  return Threads;
}

void waitForEnd() {
  for (;;)
    ::pause();
}

} // namespace review

int main(int Count, char **Arguments) {
  const std::vector<std::string> All(Arguments + 1, Arguments + Count);
  const std::string Name = All.empty() ? "" : All.front();
  const std::vector<std::string> Rest(All.empty() ? All.end() : All.begin() + 1,
                                      All.end());
  try {
    if (Name == "store")
      return review::runStore(Rest);
    if (Name == "worker")
      return review::runWorker(Rest);
    if (Name == "flood")
      return review::runFlood(Rest);
    if (Name == "call")
      return review::runCall(Rest);
  } catch (const std::exception &Problem) {
    std::cerr << Name << ": " << Problem.what() << '\n';
    return 2;
  }
  std::cerr << "usage: standins-3 store|worker|call ...\n";
  return 2;
}
