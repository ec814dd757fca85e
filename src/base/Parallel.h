#ifndef BAOBABCOVE_BASE_PARALLEL_H
#define BAOBABCOVE_BASE_PARALLEL_H

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace baobabcove {

/// Calls \p Work(0) to \p Work(Count - 1) on at most \p Width threads,
/// including the calling thread. Returns when all calls have returned.
template <class Function>
void inParallel(std::size_t Count, std::size_t Width, const Function &Work) {
  std::atomic<std::size_t> Next{0};
  const auto Run = [&] {
    for (std::size_t I = Next++; I < Count; I = Next++)
      Work(I);
  };
  std::vector<std::thread> Threads;
  for (std::size_t I = 1; I < std::min(Count, Width); ++I)
    Threads.emplace_back(Run);
  Run();
  for (std::thread &Thread : Threads)
    Thread.join();
}

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_PARALLEL_H
