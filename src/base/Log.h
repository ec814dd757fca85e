/// \file
/// Logging: short sentences, each with the prefix of the part that wrote it.

#ifndef BAOBABCOVE_BASE_LOG_H
#define BAOBABCOVE_BASE_LOG_H

#include <string>

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace baobabcove {

/// How log lines look.
enum class LogFormat { Text, Json };

/// Where log lines go.
enum class LogTarget { StandardError, StandardOutput };

/// Sends the logs of this process to \p Target. \p Program and \p Node stand
/// in every line.
void startLogging(const std::string &Program, const std::string &Node,
                  LogFormat Format,
                  LogTarget Target = LogTarget::StandardError);

/// The logger of one part of the system, such as "router".
log4cplus::Logger logOf(const std::string &Part);

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_LOG_H
