#include "base/Text.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <numeric>
#include <random>
#include <sstream>

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <openssl/crypto.h>

namespace baobabcove {

namespace {

std::size_t editDistance(const std::string &Left, const std::string &Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Replaced =
          Diagonal + (Left[I - 1] == Right[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Replaced});
    }
  }
  return Row.back();
}

} // namespace

std::string nearestName(const std::string &Name,
                        const std::vector<std::string> &Known) {
  std::string Nearest;
  std::size_t BestDistance = std::max<std::size_t>(2, Name.size() / 2) + 1;
  for (const auto &Candidate : Known) {
    const std::size_t Distance = editDistance(Name, Candidate);
    if (Distance < BestDistance) {
      BestDistance = Distance;
      Nearest = Candidate;
    }
  }
  return Nearest;
}

std::string sha256Hex(const std::string &Text) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Text);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

bool equalInConstantTime(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string randomName() {
  static std::mutex Mutex;
  static std::mt19937_64 Engine{std::random_device{}()};
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::ostringstream Out;
  Out << std::hex << std::setw(16) << std::setfill('0') << Engine();
  return Out.str();
}

bool readFile(const std::string &Path, std::string &Content) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return false;
  std::ostringstream Out;
  Out << In.rdbuf();
  Content = Out.str();
  return true;
}

} // namespace baobabcove
