#ifndef BAOBABCOVE_HTTP_HTTPLIMITS_H
#define BAOBABCOVE_HTTP_HTTPLIMITS_H

#include "baobabcove/Clock.h"

#include <cstddef>

namespace baobabcove {

/// Resource limits of a server. The number of threads is fixed at its start;
/// the others can be changed while it runs.
struct HttpLimits {
  /// Requests handled at a time.
  std::size_t Threads = 64;
  std::size_t Connections = 1024;
  /// Connections from one IP address.
  std::size_t ConnectionsPerPeer = 768;
  std::size_t HeaderFields = 100;
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 1 << 20;
  /// Requests of one connection that are handled in turn before the other
  /// connections are served.
  std::size_t PipelinedRequests = 16;
  /// Maximum time from the first byte of a request to the end of its header. A
  /// body gets this time in addition to its share at the lowest rate.
  Milliseconds ReceiveTimeout{5000};
  /// Idle connections are closed after this time.
  Milliseconds IdleTimeout{3000};
  /// Lowest rate at which a body must arrive and a response must be read.
  std::size_t BytesPerSecond = 32768;
  /// Time to read a response, in addition to its share at the lowest rate.
  Milliseconds ResponseTimeout{5000};
  /// A received request that waits longer for a thread or memory is refused.
  Milliseconds QueueTimeout{5000};
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_HTTPLIMITS_H
