#include "Attackers.h"

#include "baobabcove/Clock.h"

#include <algorithm>
#include <cerrno>
#include <thread>

#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>
#include <unistd.h>

namespace baobabcove::testing {

namespace {

constexpr Milliseconds Tick{20};
constexpr std::size_t ReadAtOnce = 65536;

std::string post(const std::string &Path, const std::string &Fields) {
  return "POST " + Path + " HTTP/1.1\r\nHost: jobs.example\r\n" + Fields +
         "\r\n";
}

std::string repeated(const std::string &Text, std::size_t Bytes) {
  std::string Result;
  while (Result.size() + Text.size() <= Bytes)
    Result += Text;
  return Result;
}

/// A connection of an attacker.
class AttackSocket {
public:
  AttackSocket() = default;
  AttackSocket(const AttackSocket &) = delete;
  AttackSocket &operator=(const AttackSocket &) = delete;
  ~AttackSocket() { close(); }

  bool isOpen() const { return Socket >= 0; }

  void open(const Poco::Net::SocketAddress &Address) {
    Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    (void)::connect(Socket, Address.addr(), Address.length());
    Sent = 0;
  }

  /// Sends what follows, at most \p Most bytes. Returns the number sent.
  std::size_t send(const Attack &Kind, std::size_t Most) {
    const bool IsFirst = Sent < Kind.First.size();
    if (!IsFirst && Kind.Repeated.empty())
      return 0;
    const std::string &Text = IsFirst ? Kind.First : Kind.Repeated;
    const std::size_t At =
        IsFirst ? Sent : (Sent - Kind.First.size()) % Text.size();
    const ssize_t Count =
        ::send(Socket, Text.data() + At, std::min(Most, Text.size() - At),
               MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count < 0 && errno != EAGAIN && errno != ENOTCONN)
      close();
    if (Count > 0)
      Sent += static_cast<std::size_t>(Count);
    return Count > 0 ? static_cast<std::size_t>(Count) : 0;
  }

  /// Reads what has arrived if \p Read is set, and closes the socket if the
  /// server has closed the connection.
  void check(bool Read) {
    char Byte = 0;
    ssize_t Count = 0;
    do
      Count =
          Read ? ::recv(Socket, nullptr, ReadAtOnce, MSG_DONTWAIT | MSG_TRUNC)
               : ::recv(Socket, &Byte, 1, MSG_DONTWAIT | MSG_PEEK);
    while (Read && Count > 0);
    if (Count == 0 || (Count < 0 && errno != EAGAIN && errno != ENOTCONN))
      close();
  }

  void close() {
    if (Socket >= 0)
      ::close(Socket);
    Socket = -1;
  }

private:
  int Socket = -1;
  std::size_t Sent = 0;
};

} // namespace

std::vector<Attack> attacksOn(const std::string &Path, std::size_t BodyBytes) {
  const std::string Length =
      "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string Fields = "{" + repeated("\"k\":1,", BodyBytes - 8) + "\"";
  const std::string Objects =
      "{\"a\":[" + repeated("{\"a\":1},", BodyBytes - 16) + "1]}";
  std::string ManyHeaders;
  for (int I = 0; I < 90; ++I)
    ManyHeaders += "H" + std::to_string(I) + ": v\r\n";
  return {
      {"half-open header", "POST " + Path + " HTTP/1.1\r\nHost: jo", "", true},
      {"one byte short", post(Path, Length) + std::string(BodyBytes - 1, 'x'),
       "", true},
      {"slow body", post(Path, Length) + std::string(BodyBytes / 2, 'x'), "x",
       true, 4096},
      {"slow header", "POST " + Path + " HTTP/1.1\r\n", "a", true, 1},
      {"chunks, one byte short",
       post(Path, Chunked) + repeated("10\r\n0123456789abcdef\r\n", BodyBytes),
       "", true},
      {"endless chunks", post(Path, Chunked), "10\r\n0123456789abcdef\r\n",
       true},
      {"far over the limit", post(Path, "Content-Length: 999999999\r\n"),
       std::string(4096, 'x'), true},
      {"no length", post(Path, ""), std::string(4096, 'x'), true},
      {"many fields",
       post(Path,
            "Content-Length: " + std::to_string(Objects.size()) + "\r\n") +
           Objects,
       post(Path, ManyHeaders + "Content-Length: " +
                      std::to_string(Objects.size()) + "\r\n") +
           Objects,
       true},
      {"pipelined without reading", post(Path, "Content-Length: 0\r\n"),
       repeated(post(Path, "Content-Length: 0\r\n"), 16384), false},
  };
}

void runAttack(const Attack &Kind, const std::string &Address,
               std::size_t Connections, double Seconds,
               std::size_t BytesPerSecond) {
  const Poco::Net::SocketAddress Target(Address);
  std::vector<AttackSocket> Sockets(Connections);
  const Instant End =
      monotonicNow() + Milliseconds(static_cast<std::int64_t>(Seconds * 1000));
  const std::size_t PerTick =
      BytesPerSecond * static_cast<std::size_t>(Tick.count()) / 1000;
  std::size_t First = 0;
  while (monotonicNow() < End) {
    std::size_t Left = PerTick;
    for (std::size_t I = 0; I < Connections; ++I) {
      AttackSocket &Each = Sockets[(First + I) % Connections];
      if (!Each.isOpen())
        Each.open(Target);
      if (Left > 0)
        Left -= Each.send(Kind, std::min(Left, Kind.BytesAtOnce));
      Each.check(Kind.Reads);
    }
    First += Connections / 3;
    std::this_thread::sleep_for(Tick);
  }
}

} // namespace baobabcove::testing
