#ifndef BAOBABCOVE_TESTS_SUPPORT_UNANSWERED_H
#define BAOBABCOVE_TESTS_SUPPORT_UNANSWERED_H

#include <stdexcept>

namespace baobabcove::testing {

/// Thrown by the handler of an HttpServer to end the connection without a
/// response. A status would tell the caller whether the call was carried out.
class Unanswered : public std::runtime_error {
public:
  Unanswered() : std::runtime_error("left unanswered") {}
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_UNANSWERED_H
