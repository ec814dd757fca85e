#ifndef BAOBABCOVE_BASE_LOG_H
#define BAOBABCOVE_BASE_LOG_H

#include <string>

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace baobabcove {

/// Format of log lines.
enum class LogFormat { Text, Json };

/// Destination of log lines.
enum class LogTarget {
  /// Every line is written; writing blocks while the reader is slow.
  StandardError,
  /// Lines are dropped and counted when the rate limit is exceeded or the
  /// reader is slow.
  StandardOutput
};

/// Configures logging for this process, replacing an earlier configuration.
/// Lines below level INFO are discarded. Each JSON line carries \p Program and
/// \p Node, each text line \p Node.
void startLogging(const std::string &Program, const std::string &Node,
                  LogFormat Format,
                  LogTarget Target = LogTarget::StandardError);

/// Returns the logger of one component, such as "router".
log4cplus::Logger logOf(const std::string &Part);

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_LOG_H
