#ifndef BAOBABCOVE_REVIEW_STANDINS_3_WORKER_H
#define BAOBABCOVE_REVIEW_STANDINS_3_WORKER_H

#include "Json.h"
#include "Record.h"

#include "baobabcove/Clock.h"
#include "base/HttpClient.h"
#include "http/HttpServer.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove::review {

/// What all workers have seen, by job. Thread-safe.
class RunLedger {
public:
  void noteStart(const std::string &Task);
  void noteEnd(const std::string &Task, const std::string &How);

  /// Whether a worker has begun a task of the job.
  bool hasBegun(const std::string &Job) const;
  std::size_t starts(const std::string &Job) const;
  /// Number of ends of the job's runs that were listed as \p How.
  std::size_t ends(const std::string &Job, const std::string &How) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::size_t> Starts;
  std::map<std::pair<std::string, std::string>, std::size_t> Ends;
};

/// The spec of a job for these workers.
struct Work {
  Milliseconds Duration{0};
  std::int64_t Accelerators = 1;
  /// The task runs until it is stopped.
  bool Lasts = false;

  std::string spec() const;
  static Work parse(const std::string &Spec);
};

/// A stand-in of a worker with eight accelerators that guards its capacity. It
/// listens at port 8083 of its address and sends heartbeats to port 8082 there.
class Worker {
public:
  Worker(Record &Events, RunLedger &Ledger, const std::string &Ip,
         const std::string &Rack);
  ~Worker();

  /// Begins a life under a new id.
  bool start();
  /// Ends the life without a word.
  void crash();
  bool isUp() const { return IsUp; }
  /// Whether nothing runs.
  bool isIdle() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Running.empty();
  }

  /// While set, starts are answered with 503 and do nothing.
  void setUnhealthy(bool Next) { IsUnhealthy = Next; }
  /// While set, each run that begins ends as failed after 100 ms.
  void setFailing(bool Next) { IsFailing = Next; }

private:
  struct Run {
    std::uint64_t Number = 0;
    Work Task;
    Instant Since{};
    bool Fails = false;
  };
  struct End {
    std::uint64_t Number = 0;
    std::string Task;
    std::uint64_t Run = 0;
    std::string How;
  };

  HttpResponse answer(const HttpRequest &Request);
  HttpResponse startRun(const Object &Order);
  HttpResponse stopRun(const Object &Order);
  HttpResponse hold(const Object &Order, std::unique_lock<std::mutex> &Lock);
  HttpResponse refuse(const char *Reason) const;
  Object reply() const;
  std::int64_t clockMs() const;
  void end(const std::string &Task, const std::string &How);
  void advance();
  void beat();

  Record &Events;
  RunLedger &Ledger;
  const std::string Ip;
  const std::string Rack;
  HttpClient Agent;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> IsUp{false};
  std::atomic<bool> IsUnhealthy{false};
  std::atomic<bool> IsFailing{false};
  std::string Id;
  std::int64_t BornMs = 0;
  Instant BornAt{};
  std::uint64_t Sequence = 0;
  std::uint64_t Fence = 0;
  std::uint64_t LastEnd = 0;
  Instant LeaseUntil{};
  Instant NextBeat{};
  std::map<std::string, Run> Running;
  std::map<std::string, std::uint64_t> Barred;
  std::deque<End> Ended;
  std::unique_ptr<HttpServer> Server;
  std::thread Runs;
  std::thread Beats;
};

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_3_WORKER_H
