#include "agent/WorkerClient.h"

namespace baobabcove {

namespace {

constexpr Milliseconds CallTimeout{1000};

std::uint64_t monotonicMs(Instant ExpiresAt) {
  return static_cast<std::uint64_t>(ExpiresAt.time_since_epoch().count());
}

class HttpWorkerClient : public WorkerClient {
public:
  explicit HttpWorkerClient(const std::string &Address) : Client(Address) {}

  Expected<void> start(const platform::TaskOrder &Order) override {
    platform::TaskStatus Reply;
    return Client.callJson("/tasks/start", Order, Reply, CallTimeout);
  }

  Expected<void> renew(const std::string &Id, Instant ExpiresAt) override {
    platform::TaskAction Action;
    Action.set_id(Id);
    Action.set_lease_until_ms(monotonicMs(ExpiresAt));
    platform::TaskStatus Reply;
    return Client.callJson("/tasks/renew", Action, Reply, CallTimeout);
  }

  Expected<void> stop(const std::string &Id) override {
    platform::TaskAction Action;
    Action.set_id(Id);
    platform::TaskStatus Reply;
    return Client.callJson("/tasks/stop", Action, Reply, CallTimeout);
  }

  Expected<Milliseconds> checkpoint(const std::string &Id,
                                    Milliseconds Timeout) override {
    platform::TaskAction Action;
    Action.set_id(Id);
    platform::TaskStatus Reply;
    auto Done = Client.callJson("/tasks/checkpoint", Action, Reply, Timeout);
    if (!Done)
      return tl::unexpected<Error>(Done.error());
    return Milliseconds(Reply.progress_ms());
  }

  Expected<platform::WorkerReport> report() override {
    HttpCall Call;
    Call.Method = "GET";
    Call.Path = "/tasks";
    Call.Timeout = CallTimeout;
    auto Answer = Client.call(Call);
    if (!Answer)
      return tl::unexpected<Error>(Answer.error());
    platform::WorkerReport Report;
    if (auto Read = fromJson(Answer->Body, Report); !Read)
      return tl::unexpected<Error>(Read.error());
    return Report;
  }

private:
  HttpClient Client;
};

} // namespace

std::unique_ptr<WorkerClient> makeHttpWorkerClient(const std::string &Address) {
  return std::make_unique<HttpWorkerClient>(Address);
}

} // namespace baobabcove
