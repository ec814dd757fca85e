#ifndef BAOBABCOVE_AGENT_WORKERCLIENT_H
#define BAOBABCOVE_AGENT_WORKERCLIENT_H

#include "base/HttpClient.h"
#include "platform.pb.h"

namespace baobabcove {

/// Client of the task interface of the agent's worker. Thread-safe. Every call
/// fails when the worker refuses it or does not answer.
class WorkerClient {
public:
  virtual ~WorkerClient() = default;
  virtual Expected<void> start(const platform::TaskOrder &Order) = 0;
  virtual Expected<void> renew(const std::string &Id, Instant ExpiresAt) = 0;
  virtual Expected<void> stop(const std::string &Id) = 0;
  /// Writes a checkpoint and stops the tasks. Returns the progress that the
  /// checkpoint saved.
  virtual Expected<Milliseconds> checkpoint(const std::string &Id,
                                            Milliseconds Timeout) = 0;
  virtual Expected<platform::WorkerReport> report() = 0;
};

/// Creates a client of the worker's HTTP interface at \p Address ("ip:port").
std::unique_ptr<WorkerClient> makeHttpWorkerClient(const std::string &Address);

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_WORKERCLIENT_H
