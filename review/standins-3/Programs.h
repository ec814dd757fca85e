//===-- Programs.h - The programs of the stand-ins
//--------------------------===//

#ifndef BAOBABCOVE_REVIEW_STANDINS_3_PROGRAMS_H
#define BAOBABCOVE_REVIEW_STANDINS_3_PROGRAMS_H

#include <cstdint>
#include <string>
#include <vector>

#include <Poco/ThreadPool.h>

namespace review {

/// The threads of all servers of the process.
Poco::ThreadPool &threadPool();

/// Waits until the process is killed.
[[noreturn]] void waitForEnd();

int runStore(const std::vector<std::string> &Arguments);
int runWorker(const std::vector<std::string> &Arguments);
int runFlood(const std::vector<std::string> &Arguments);
int runCall(const std::vector<std::string> &Arguments);

} // namespace review

#endif // BAOBABCOVE_REVIEW_STANDINS_3_PROGRAMS_H
