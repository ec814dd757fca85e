#ifndef BAOBABCOVE_TESTS_SUPPORT_ATTACKERS_H
#define BAOBABCOVE_TESTS_SUPPORT_ATTACKERS_H

#include <functional>
#include <string>
#include <vector>

namespace baobabcove::testing {

/// What the connections of an attack send.
struct Attack {
  std::string Name;
  /// Sent first on every connection.
  std::string First;
  /// Sent again and again after that; may be empty.
  std::string Repeated;
  /// Whether responses are read.
  bool Reads = false;
  /// Most bytes sent at once on a connection.
  std::size_t BytesAtOnce = 65536;
};

/// Returns every attack of docs/design/untrusted-clients.md on \p Path, with
/// bodies of \p BodyBytes bytes, which are legal.
std::vector<Attack> attacksOn(const std::string &Path, std::size_t BodyBytes);

/// Opens \p Connections connections to \p Address and sends on all of them,
/// without waiting for any, until \p Seconds have passed. A connection that the
/// server closes is opened again. At most \p BytesPerSecond are sent in total.
void runAttack(const Attack &Kind, const std::string &Address,
               std::size_t Connections, double Seconds,
               std::size_t BytesPerSecond);

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_ATTACKERS_H
