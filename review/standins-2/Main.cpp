// Stand-ins of the platform's store, of a worker, of a client and of the
// network before a machine, one role to a process.

#include "Common.h"

#include <csignal>
#include <iostream>

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string Role = Count > 1 ? Arguments[1] : "";
  const review::Options Given(Count, Arguments);
  try {
    if (Role == "store")
      return review::runStore(Given);
    if (Role == "worker")
      return review::runWorker(Given);
    if (Role == "proxy")
      return review::runProxy(Given);
    if (Role == "call")
      return review::runCall(Given);
    if (Role == "flood")
      return review::runFlood(Given);
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << '\n';
    return 2;
  }
  std::cerr << "usage: standin store|worker|proxy|call|flood --name=value...\n";
  return 2;
}
