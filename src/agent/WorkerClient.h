/// \file
/// The task interface of the worker beside an agent.

#ifndef BAOBABCOVE_AGENT_WORKERCLIENT_H
#define BAOBABCOVE_AGENT_WORKERCLIENT_H

#include "base/HttpClient.h"
#include "platform.pb.h"

namespace baobabcove {

/// What an agent asks of its worker. Thread-safe. Every call fails when the
/// worker refuses or does not answer.
class WorkerClient {
public:
  virtual ~WorkerClient() = default;
  virtual Expected<void> start(const platform::TaskOrder &Order) = 0;
  virtual Expected<void> renew(const std::string &Id, Instant Until) = 0;
  virtual Expected<void> stop(const std::string &Id) = 0;
  /// Writes a checkpoint and stops the tasks; returns the progress kept.
  virtual Expected<Milliseconds> checkpoint(const std::string &Id,
                                            Milliseconds Patience) = 0;
  virtual Expected<platform::WorkerReport> report() = 0;
};

/// A client of the worker's HTTP interface at \p Address ("ip:port").
std::unique_ptr<WorkerClient> makeHttpWorker(const std::string &Address);

} // namespace baobabcove

#endif // BAOBABCOVE_AGENT_WORKERCLIENT_H
