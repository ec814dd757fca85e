// The part of HttpEngine that accepts connections, receives and sends.

#include "http/HttpEngine.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <Poco/Net/SocketAddress.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace baobabcove {

namespace {

/// Reserved for each connection for as long as it is open.
constexpr std::size_t ConnectionBytes = 4096;
constexpr std::size_t ReadBlockBytes = 8192;
/// Blocks read from a connection before the others are served.
constexpr int ReadsInTurn = 8;
constexpr int AcceptsInTurn = 64;
/// Bytes of a refused request that are discarded, so that the sender receives
/// the response instead of a connection reset.
constexpr std::size_t MaxDiscardedBytes = 4 << 20;
constexpr std::size_t DiscardBlockBytes = 1 << 20;
/// Longer descriptions of a client's error are cut.
constexpr std::size_t MaxDetailBytes = 512;

} // namespace

void HttpEngine::acceptAll() {
  const std::lock_guard<std::mutex> Lock(ListenerMutex);
  if (!Listening)
    return;
  const int Socket = Listener.impl()->sockfd();
  for (int I = 0; I < AcceptsInTurn; ++I) {
    sockaddr_storage Address{};
    socklen_t Length = sizeof(Address);
    const int Accepted =
        ::accept4(Socket, reinterpret_cast<sockaddr *>(&Address), &Length,
                  SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Accepted >= 0)
      accept(Accepted, Poco::Net::SocketAddress(
                           reinterpret_cast<sockaddr *>(&Address), Length)
                           .host()
                           .toString());
    else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
             errno == ENOMEM) {
      if (!evictForConnection("", "no_descriptors"))
        ::usleep(1000);
      break;
    } else if (errno != EINTR && errno != ECONNABORTED)
      break;
  }
  epoll_event Event{};
  Event.events = EPOLLIN | EPOLLONESHOT;
  Event.data.u64 = ListenerId;
  (void)::epoll_ctl(Epoll, EPOLL_CTL_MOD, Socket, &Event);
}

void HttpEngine::stopListening() {
  acceptAll();
  const std::lock_guard<std::mutex> Lock(ListenerMutex);
  if (!Listening)
    return;
  Listening = false;
  (void)::epoll_ctl(Epoll, EPOLL_CTL_DEL, Listener.impl()->sockfd(), nullptr);
  Listener.close();
}

void HttpEngine::accept(int Socket, const std::string &Peer) {
  const std::shared_ptr<const HttpLimits> Now = limits();
  if (Table.countOf(Peer) >= Now->ConnectionsPerPeer &&
      !evictForConnection(Peer, "evicted_for_peer"))
    return refuseConnection(Socket, ResultCode::PeerLimit, Peer,
                            "peer_connections");
  if (Table.size() >= Now->Connections &&
      !evictForConnection("", "evicted_for_connection"))
    return refuseConnection(Socket, ResultCode::Overloaded, Peer,
                            "connections");
  auto Client = std::make_shared<Connection>(NextId++, Socket, Peer, *Budget,
                                             Resources.Share, monotonicNow());
  if (!reserve(Client, ConnectionBytes)) {
    Client->Socket = -1;
    return refuseConnection(Socket, ResultCode::Overloaded, Peer, "memory");
  }
  Table.add(Client);
  epoll_event Event{};
  Event.data.u64 = Client->Id;
  (void)::epoll_ctl(Epoll, EPOLL_CTL_ADD, Socket, &Event);
  wait(Client, EPOLLIN);
}

/// Answers a connection that is not accepted without waiting for its request.
void HttpEngine::refuseConnection(int Socket, ResultCode Code,
                                  const std::string &Peer, const char *Cause) {
  Refusals.add(Cause, Peer);
  const HttpResponse Response =
      errorResponse(Code, "The server has no room for this connection.");
  const std::string Text =
      formatHeader(Response, "HTTP/1.1", false) + Response.Body;
  (void)::send(Socket, Text.data(), Text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  (void)::shutdown(Socket, SHUT_WR);
  // Closing a socket with unread bytes would reset it and lose the response.
  (void)::recv(Socket, nullptr, DiscardBlockBytes, MSG_DONTWAIT | MSG_TRUNC);
  ::close(Socket);
}

HttpEngine::Step HttpEngine::receive(const Client &Taken) {
  std::array<char, ReadBlockBytes> Block;
  for (int I = 0; I < ReadsInTurn; ++I) {
    // A growing buffer is copied to one of up to twice the size.
    const std::size_t Needed =
        ConnectionBytes + 2 * Taken->Receiver.bytesHeld() + ReadBlockBytes;
    if (Needed > Taken->Held.size() && !reserve(Taken, Needed))
      return refuse(Taken,
                    Error{ResultCode::Overloaded,
                          "The server has no memory for the request."},
                    "memory");
    const ssize_t Count =
        ::recv(Taken->Socket, Block.data(), Block.size(), MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (Count <= 0) {
      end(Taken);
      return Step::Parked;
    }
    const std::shared_ptr<const HttpLimits> Now = limits();
    Taken->Receiver.add({Block.data(), static_cast<std::size_t>(Count)}, *Now);
    Taken->Held.resize(ConnectionBytes + Taken->Receiver.bytesHeld());
    const Step Next = onReceived(Taken, static_cast<std::size_t>(Count));
    if (Next == Step::Parked ||
        Taken->Receiver.state() == RequestReceiver::State::Complete)
      return Next;
    if (static_cast<std::size_t>(Count) < Block.size())
      break;
  }
  Taken->Held.resize(ConnectionBytes + Taken->Receiver.bytesHeld());
  return wait(Taken, EPOLLIN);
}

/// Follows the receiver to the phase of the connection.
HttpEngine::Step HttpEngine::onReceived(const Client &Taken,
                                        std::size_t Count) {
  switch (Taken->Receiver.state()) {
  case RequestReceiver::State::Refused:
    return refuse(Taken, Taken->Receiver.error(), "limit");
  case RequestReceiver::State::Complete:
  case RequestReceiver::State::Empty:
    return Step::Again;
  case RequestReceiver::State::InHeader:
    if (Taken->Phase != ConnectionPhase::Header)
      Taken->enter(ConnectionPhase::Header, monotonicNow());
    return Step::Again;
  case RequestReceiver::State::InBody:
    break;
  }
  if (Taken->Phase != ConnectionPhase::Body) {
    Taken->enter(ConnectionPhase::Body, monotonicNow());
    Count = Taken->Receiver.bodyBytes();
    if (Taken->Receiver.takeExpectation()) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      (void)::send(Taken->Socket, Continue.data(), Continue.size(),
                   MSG_DONTWAIT | MSG_NOSIGNAL);
    }
  }
  Taken->PhaseBytes += Count;
  return Step::Again;
}

HttpEngine::Step HttpEngine::respond(const Client &Taken,
                                     const HttpResponse &Response,
                                     bool KeepAlive) {
  KeepAlive = KeepAlive && !ClosingAll;
  Taken->ResponseHeader =
      formatHeader(Response, Taken->Receiver.version(), KeepAlive);
  Taken->ResponseBody =
      Taken->Receiver.isHead() ? std::string() : Response.Body;
  Taken->ResponseSent = 0;
  Taken->CloseAfterResponse = !KeepAlive;
  Taken->enter(ConnectionPhase::Responding, monotonicNow());
  return flush(Taken);
}

HttpEngine::Step HttpEngine::flush(const Client &Taken) {
  const std::size_t HeaderSize = Taken->ResponseHeader.size();
  const std::size_t Total = HeaderSize + Taken->ResponseBody.size();
  while (Taken->ResponseSent < Total) {
    const std::size_t FromHeader = std::min(Taken->ResponseSent, HeaderSize);
    const std::size_t FromBody = Taken->ResponseSent - FromHeader;
    std::array<iovec, 2> Parts{
        {{Taken->ResponseHeader.data() + FromHeader, HeaderSize - FromHeader},
         {Taken->ResponseBody.data() + FromBody,
          Taken->ResponseBody.size() - FromBody}}};
    msghdr Message{};
    Message.msg_iov = Parts.data();
    Message.msg_iovlen = Parts.size();
    const ssize_t Count =
        ::sendmsg(Taken->Socket, &Message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count >= 0) {
      Taken->ResponseSent += static_cast<std::size_t>(Count);
      Taken->PhaseBytes += static_cast<std::size_t>(Count);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      if (!reserve(Taken,
                   ConnectionBytes + Taken->Receiver.bytesHeld() + Total)) {
        Refusals.add("memory", Taken->Peer);
        end(Taken);
        return Step::Parked;
      }
      return wait(Taken, EPOLLOUT);
    } else if (errno != EINTR) {
      end(Taken);
      return Step::Parked;
    }
  }
  return afterResponse(Taken);
}

HttpEngine::Step HttpEngine::afterResponse(const Client &Taken) {
  Taken->ResponseHeader = std::string();
  Taken->ResponseBody = std::string();
  if (Taken->CloseAfterResponse)
    return beginClosing(Taken);
  Taken->HasServed = true;
  const std::shared_ptr<const HttpLimits> Now = limits();
  Taken->enter(ConnectionPhase::Idle, monotonicNow());
  const RequestReceiver::State Next = Taken->Receiver.next(*Now);
  Taken->Held.resize(ConnectionBytes + Taken->Receiver.bytesHeld());
  if (Next == RequestReceiver::State::Empty)
    return wait(Taken, EPOLLIN);
  if (onReceived(Taken, Taken->Receiver.bodyBytes()) == Step::Parked)
    return Step::Parked;
  if (Next != RequestReceiver::State::Complete)
    return wait(Taken, EPOLLIN);
  if (Taken->InTurn < Now->PipelinedRequests)
    return Step::Again;
  // The socket is writable, so that the next event comes after those of the
  // other connections.
  Taken->enter(ConnectionPhase::Queued, monotonicNow());
  return wait(Taken, EPOLLIN | EPOLLOUT);
}

HttpEngine::Step HttpEngine::refuse(const Client &Taken, const Error &Problem,
                                    const char *Cause) {
  Refusals.add(Cause, Taken->Peer);
  return respond(
      Taken,
      errorResponse(Problem.Code, Problem.Detail.substr(0, MaxDetailBytes)),
      false);
}

/// Ends a connection whose last response has been sent. What the client still
/// sends is discarded for a while, since closing a socket with unread bytes
/// resets the connection, and the client may lose the response.
HttpEngine::Step HttpEngine::beginClosing(const Client &Taken) {
  (void)::shutdown(Taken->Socket, SHUT_WR);
  Taken->Receiver = RequestReceiver();
  Taken->Held.resize(ConnectionBytes);
  Taken->enter(ConnectionPhase::Closing, monotonicNow());
  return discard(Taken);
}

HttpEngine::Step HttpEngine::discard(const Client &Taken) {
  for (int I = 0; I < ReadsInTurn && Taken->PhaseBytes < MaxDiscardedBytes;
       ++I) {
    const ssize_t Count = ::recv(Taken->Socket, nullptr, DiscardBlockBytes,
                                 MSG_DONTWAIT | MSG_TRUNC);
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return wait(Taken, EPOLLIN);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0) {
      end(Taken);
      return Step::Parked;
    }
    Taken->PhaseBytes += static_cast<std::size_t>(Count);
  }
  if (Taken->PhaseBytes < MaxDiscardedBytes)
    return wait(Taken, EPOLLIN);
  end(Taken);
  return Step::Parked;
}

} // namespace baobabcove
