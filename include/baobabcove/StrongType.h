#ifndef BAOBABCOVE_STRONGTYPE_H
#define BAOBABCOVE_STRONGTYPE_H

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace baobabcove {

/// A string identifier. Identifiers with different tags are different types, so
/// that the compiler rejects mixing them up.
template <class Tag> class StrongString {
public:
  StrongString() = default;
  explicit StrongString(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  friend bool operator==(const StrongString &L, const StrongString &R) {
    return L.Text == R.Text;
  }
  friend bool operator!=(const StrongString &L, const StrongString &R) {
    return L.Text != R.Text;
  }
  friend bool operator<(const StrongString &L, const StrongString &R) {
    return L.Text < R.Text;
  }
  friend std::ostream &operator<<(std::ostream &Out, const StrongString &S) {
    return Out << S.Text;
  }

private:
  std::string Text;
};

/// An unsigned number. Numbers with different tags are different types.
template <class Tag> class StrongNumber {
public:
  StrongNumber() = default;
  explicit constexpr StrongNumber(std::uint64_t Number) : Number(Number) {}

  constexpr std::uint64_t value() const { return Number; }

  friend bool operator==(StrongNumber L, StrongNumber R) {
    return L.Number == R.Number;
  }
  friend bool operator!=(StrongNumber L, StrongNumber R) {
    return L.Number != R.Number;
  }
  friend bool operator<(StrongNumber L, StrongNumber R) {
    return L.Number < R.Number;
  }
  friend bool operator>=(StrongNumber L, StrongNumber R) {
    return L.Number >= R.Number;
  }
  friend std::ostream &operator<<(std::ostream &Out, StrongNumber N) {
    return Out << N.Number;
  }

private:
  std::uint64_t Number = 0;
};

} // namespace baobabcove

template <class Tag> struct std::hash<baobabcove::StrongString<Tag>> {
  std::size_t operator()(const baobabcove::StrongString<Tag> &S) const {
    return std::hash<std::string>()(S.str());
  }
};

#endif // BAOBABCOVE_STRONGTYPE_H
