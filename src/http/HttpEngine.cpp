#include "http/HttpEngine.h"

#include "base/Log.h"
#include "base/LogFields.h"

#include <algorithm>

#include <Poco/Exception.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace baobabcove {

namespace {

constexpr int ThreadStackBytes = 256 * 1024;
constexpr int PoolIdleSeconds = 60;
/// Threads in addition to those that handle requests, so that requests are
/// received and refused while all handlers are busy.
constexpr std::size_t ExtraThreads = 2;
/// A thread that has had no event for this long ends if others are idle.
constexpr int ThreadIdleMs = 5000;
constexpr Milliseconds TimerPeriod{100};
/// Ids of events that are neither of a connection nor of the listener.
constexpr std::uint64_t WakeId = 1;
constexpr std::uint64_t StopId = 2;
constexpr std::uint64_t FirstConnectionId = 16;
constexpr std::uint32_t DefaultBudgetMb = 512;
constexpr std::size_t ReservedThreads = 4;

void watchDescriptor(int Epoll, int Operation, int Descriptor, std::uint64_t Id,
                     std::uint32_t Events) {
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Id;
  (void)::epoll_ctl(Epoll, Operation, Descriptor, &Event);
}

} // namespace

HttpEngine::HttpEngine(const Poco::Net::ServerSocket &Listener,
                       const HttpLimits &Limits, HttpHandler Handler,
                       HttpResources Shared)
    : Limits(std::make_shared<const HttpLimits>(Limits)),
      Handler(std::move(Handler)), Resources(std::move(Shared)),
      Budget(Resources.Budget ? Resources.Budget
                              : makeMemoryBudget(DefaultBudgetMb)),
      Refusals(Resources.Name, Resources.Stats),
      Gate(*Budget, Resources.Share, Limits.Threads,
           Resources.IsSystemRequest ? ReservedThreads : 0),
      Listener(Listener), Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      WakeEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      StopEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      NextId(FirstConnectionId),
      Pool(2, static_cast<int>(Limits.Threads + ExtraThreads), PoolIdleSeconds,
           ThreadStackBytes) {
  watchDescriptor(Epoll, EPOLL_CTL_ADD, this->Listener.impl()->sockfd(),
                  ListenerId, EPOLLIN | EPOLLONESHOT);
  watchDescriptor(Epoll, EPOLL_CTL_ADD, WakeEvent, WakeId,
                  EPOLLIN | EPOLLONESHOT);
  watchDescriptor(Epoll, EPOLL_CTL_ADD, StopEvent, StopId, EPOLLIN);
  startThread();
  startThread();
  Timer = std::thread([this] { runTimer(); });
}

HttpEngine::~HttpEngine() {
  {
    const std::lock_guard<std::mutex> Lock(TimerMutex);
    Stopping = true;
  }
  TimerWake.notify_all();
  Timer.join();
  (void)::eventfd_write(StopEvent, 1);
  Pool.joinAll();
  for (const Client &Each : Table.all())
    Each->close();
  ::close(StopEvent);
  ::close(WakeEvent);
  ::close(Epoll);
}

std::shared_ptr<const HttpLimits> HttpEngine::limits() const {
  return std::atomic_load(&Limits);
}

void HttpEngine::applyLimits(const HttpLimits &Changed) {
  std::atomic_store(&Limits, std::make_shared<const HttpLimits>(Changed));
}

void HttpEngine::startThread() {
  try {
    ++IdleThreads;
    Pool.start(*this);
  } catch (const Poco::Exception &) {
    // All threads of the pool run already.
    --IdleThreads;
  }
}

void HttpEngine::run() {
  std::uint64_t Id = 0;
  // The thread was counted as idle when it was started.
  while (waitForEvent(Id)) {
    --IdleThreads;
    if (Id == ListenerId)
      acceptAll();
    else if (Id == WakeId) {
      eventfd_t Ignored = 0;
      (void)::eventfd_read(WakeEvent, &Ignored);
      watchDescriptor(Epoll, EPOLL_CTL_MOD, WakeEvent, WakeId,
                      EPOLLIN | EPOLLONESHOT);
    } else if (const Client Found = Table.find(Id); Found && Found->take())
      advance(Found);
    serveWaiting();
    ++IdleThreads;
  }
}

/// Waits for an event. Returns false, and no longer counts the thread as idle,
/// when it should end.
bool HttpEngine::waitForEvent(std::uint64_t &Id) {
  while (!Stopping) {
    epoll_event Event{};
    const int Count = ::epoll_wait(Epoll, &Event, 1, ThreadIdleMs);
    if (Count == 1 && Event.data.u64 != StopId) {
      Id = Event.data.u64;
      return true;
    }
    if (Count != 0)
      continue;
    int Idle = IdleThreads;
    while (Idle > int(ExtraThreads))
      if (IdleThreads.compare_exchange_weak(Idle, Idle - 1))
        return false;
  }
  return false;
}

/// Handles requests that waited for what this thread has just released.
void HttpEngine::serveWaiting() {
  while (!Stopping) {
    const Client Next = Gate.admitNext();
    if (!Next)
      return;
    if (handle(Next) == Step::Again)
      advance(Next);
  }
}

void HttpEngine::advance(const Client &Taken) {
  while (step(Taken) == Step::Again) {
  }
}

HttpEngine::Step HttpEngine::step(const Client &Taken) {
  switch (Taken->Phase) {
  case ConnectionPhase::Responding:
    return flush(Taken);
  case ConnectionPhase::Closing:
    return discard(Taken);
  default:
    // A request that followed another one on the connection.
    if (Taken->Receiver.state() == RequestReceiver::State::Complete)
      return serve(Taken);
    return receive(Taken);
  }
}

HttpEngine::Step HttpEngine::serve(const Client &Taken) {
  const HttpRequest &Request = Taken->Receiver.request();
  Taken->HandlingBytes = handlingBytes(Request);
  if (Taken->HandlingBytes > Gate.mostBytes())
    return refuse(Taken,
                  Error{ResultCode::BodyTooLarge,
                        "The body has too many JSON objects and values."},
                  "json_values");
  const bool IsSystem =
      Resources.IsSystemRequest && Resources.IsSystemRequest(Request);
  const bool Admitted = Gate.admit(Taken, IsSystem, [&] {
    Taken->enter(ConnectionPhase::Queued, monotonicNow());
    Taken->park(Epoll, 0);
  });
  return Admitted ? handle(Taken) : Step::Parked;
}

/// Calls the handler for an admitted request and begins to send the response.
HttpEngine::Step HttpEngine::handle(const Client &Taken) {
  // Keeps a thread waiting for events while the handler blocks.
  if (IdleThreads == 0)
    startThread();
  Taken->enter(ConnectionPhase::Handling, monotonicNow());
  const std::size_t Reserved = Taken->HandlingBytes;
  HttpResponse Response;
  bool Answered = false;
  try {
    HttpRequest Request = Taken->Receiver.take();
    Request.Connection = Taken->Id;
    Response = Handler(Request);
    Answered = true;
  } catch (const std::exception &Exception) {
    LOG4CPLUS_ERROR(logOf("http"), LogFields("a handler failed")
                                       .add("server", Resources.Name)
                                       .add("why", Exception.what()));
  }
  Gate.leave(Reserved);
  // Whether the request ran is unknown: the connection ends without a response.
  if (!Answered) {
    end(Taken);
    return Step::Parked;
  }
  ++Taken->InTurn;
  return respond(Taken, Response, Taken->Receiver.keepAlive());
}

HttpEngine::Step HttpEngine::wait(const Client &Taken, std::uint32_t Events) {
  Taken->InTurn = 0;
  Taken->park(Epoll, Events);
  return Step::Parked;
}

void HttpEngine::end(const Client &Taken) {
  Table.remove(*Taken);
  Taken->close();
}

void HttpEngine::runTimer() {
  std::unique_lock<std::mutex> Lock(TimerMutex);
  while (!Stopping) {
    TimerWake.wait_for(Lock, TimerPeriod);
    Lock.unlock();
    endExpired();
    // Memory may have been released without a handler ending.
    if (!Gate.isEmpty())
      (void)::eventfd_write(WakeEvent, 1);
    Lock.lock();
  }
}

void HttpEngine::endExpired() {
  const std::shared_ptr<const HttpLimits> Now = limits();
  const Instant Time = monotonicNow();
  for (const Client &Each : Table.all()) {
    PhaseDeadline Deadline{Instant::max(), ""};
    if (!Each->takeIf([&](const Connection &Parked) {
          Deadline = deadlineOf(Parked, *Now);
          return Deadline.At <= Time;
        }))
      continue;
    if (Each->Phase == ConnectionPhase::Queued)
      refuse(Each,
             Error{ResultCode::Overloaded,
                   "No thread or memory became free for the request."},
             Deadline.Cause);
    else if (Each->Phase == ConnectionPhase::Header ||
             Each->Phase == ConnectionPhase::Body)
      refuse(
          Each,
          Error{ResultCode::RequestTimeout, "The request arrived too slowly."},
          Deadline.Cause);
    else {
      if (Each->Phase != ConnectionPhase::Idle &&
          Each->Phase != ConnectionPhase::Closing)
        Refusals.add(Deadline.Cause, Each->Peer);
      end(Each);
    }
  }
}

bool HttpEngine::reserve(const Client &Taken, std::size_t Bytes) {
  if (Taken->Held.resize(Bytes))
    return true;
  // Recent senders of little are not closed for others.
  constexpr Milliseconds MinAge{250};
  constexpr std::size_t LargeFactor = 4;
  const std::size_t Missing = Bytes - Taken->Held.size();
  auto Candidates = Table.candidates("", monotonicNow());
  std::sort(Candidates.begin(), Candidates.end(), &isEvictedBefore);
  for (const EvictionCandidate &Each : Candidates) {
    if (Each.Phase == ConnectionPhase::Idle ||
        (Each.Age < MinAge && Each.Bytes < LargeFactor * Missing) ||
        !Each.Client->takeIn(Each.Phase))
      continue;
    Refusals.add("evicted_for_memory", Each.Client->Peer);
    end(Each.Client);
    if (Taken->Held.resize(Bytes))
      return true;
  }
  return false;
}

bool HttpEngine::evictForConnection(const std::string &Peer,
                                    const char *Cause) {
  // A connection is not closed before its client had time to send a request.
  constexpr Milliseconds MinAge{100};
  // Several at once, since finding them looks at all connections.
  constexpr std::size_t AtOnce = 16;
  auto Candidates = Table.candidates(Peer, monotonicNow());
  std::sort(Candidates.begin(), Candidates.end(), &isEvictedBefore);
  std::size_t Evicted = 0;
  for (const EvictionCandidate &Each : Candidates) {
    if (Evicted == AtOnce ||
        (Evicted > 0 && Each.Phase == ConnectionPhase::Idle && Each.HasServed))
      break;
    if (Each.Age < MinAge || !Each.Client->takeIn(Each.Phase))
      continue;
    Refusals.add(Cause, Each.Client->Peer);
    end(Each.Client);
    ++Evicted;
  }
  return Evicted > 0;
}

} // namespace baobabcove
