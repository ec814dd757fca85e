#ifndef BAOBABCOVE_HTTP_HTTPENGINE_H
#define BAOBABCOVE_HTTP_HTTPENGINE_H

#include "http/ConnectionTable.h"
#include "http/HandlerGate.h"
#include "http/HttpServer.h"
#include "http/RefusalLog.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>

namespace baobabcove {

/// The id of the listener's events.
inline constexpr std::uint64_t ListenerId = 0;

/// The threads and connections of a server. All threads wait for events of all
/// connections; the thread that gets an event reads what has arrived without
/// blocking, and handles the request itself when it is complete. No request is
/// passed between threads, which costs less processor time than a separate
/// front, and an incomplete request holds no thread.
class HttpEngine : public Poco::Runnable {
public:
  HttpEngine(const Poco::Net::ServerSocket &Listener, const HttpLimits &Limits,
             HttpHandler Handler, HttpResources Resources);
  ~HttpEngine() override;

  /// The loop of one thread.
  void run() override;

  void applyLimits(const HttpLimits &Limits);
  void closeAfterResponses() { ClosingAll = true; }
  /// Accepts the connections that are already established, and no more.
  void stopListening();
  std::size_t openConnections() const { return Table.size(); }

private:
  using Client = std::shared_ptr<Connection>;
  /// Whether a step left the connection with more to do for this thread.
  enum class Step { Again, Parked };

  void startThread();
  bool waitForEvent(std::uint64_t &Id);
  void serveWaiting();

  void acceptAll();
  void accept(int Socket, const std::string &Peer);
  void refuseConnection(int Socket, ResultCode Code, const std::string &Peer,
                        const char *Cause);

  /// Works on a connection that this thread has taken until it must wait.
  void advance(const Client &Taken);
  Step step(const Client &Taken);
  Step receive(const Client &Taken);
  Step onReceived(const Client &Taken, std::size_t Count);
  Step serve(const Client &Taken);
  Step handle(const Client &Taken);
  Step respond(const Client &Taken, const HttpResponse &Response,
               bool KeepAlive);
  Step flush(const Client &Taken);
  Step afterResponse(const Client &Taken);
  Step refuse(const Client &Taken, const Error &Problem, const char *Cause);
  Step beginClosing(const Client &Taken);
  Step discard(const Client &Taken);
  Step wait(const Client &Taken, std::uint32_t Events);
  void end(const Client &Taken);

  /// Reserves memory for a connection, closing slower ones if necessary.
  bool reserve(const Client &Taken, std::size_t Bytes);
  /// Closes the first of the connections in the order of eviction. Returns
  /// whether one was closed.
  bool evictForConnection(const std::string &Peer, const char *Cause);
  void endExpired();
  void runTimer();

  std::shared_ptr<const HttpLimits> limits() const;

  std::shared_ptr<const HttpLimits> Limits;
  const HttpHandler Handler;
  const HttpResources Resources;
  const std::shared_ptr<MemoryBudget> Budget;
  RefusalLog Refusals;
  ConnectionTable Table;
  HandlerGate Gate;
  std::mutex ListenerMutex;
  Poco::Net::ServerSocket Listener;
  bool Listening = true;
  int Epoll = -1;
  int WakeEvent = -1;
  int StopEvent = -1;
  std::atomic<std::uint64_t> NextId;
  std::atomic<bool> ClosingAll{false};
  std::atomic<bool> Stopping{false};
  std::atomic<int> IdleThreads{0};
  Poco::ThreadPool Pool;
  std::mutex TimerMutex;
  std::condition_variable TimerWake;
  std::thread Timer;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_HTTPENGINE_H
