#ifndef BAOBABCOVE_TESTS_SUPPORT_DICE_H
#define BAOBABCOVE_TESTS_SUPPORT_DICE_H

#include <cstddef>
#include <random>

namespace baobabcove::testing {

/// Random numbers of one thread of a test.
class Dice {
public:
  explicit Dice(unsigned Seed) : Engine(Seed) {}

  int upTo(int Max) {
    return std::uniform_int_distribution<int>(0, Max)(Engine);
  }
  bool oneIn(int Number) { return upTo(Number - 1) == 0; }
  std::size_t below(std::size_t Count) {
    return std::size_t(upTo(int(Count) - 1));
  }

private:
  std::mt19937 Engine;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_DICE_H
