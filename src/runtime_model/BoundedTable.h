#ifndef BAOBABCOVE_RUNTIME_MODEL_BOUNDEDTABLE_H
#define BAOBABCOVE_RUNTIME_MODEL_BOUNDEDTABLE_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>

namespace baobabcove {

/// A table with a limited number of rows. The least recently updated row is
/// removed when a new one needs its place.
template <typename Key, typename Row> class BoundedTable {
public:
  explicit BoundedTable(std::size_t MaxRows) : MaxRows(MaxRows) {}

  /// Returns the row of \p Name for an update; adds it if there is none.
  template <typename Name> Row &update(const Name &Wanted) {
    auto Found = Rows.find(Wanted);
    if (Found == Rows.end()) {
      if (Rows.size() >= MaxRows)
        removeOldest();
      Found = Rows.try_emplace(Key(Wanted)).first;
    }
    Found->second.UpdatedAt = ++Updates;
    return Found->second.Value;
  }

  template <typename Name> const Row *find(const Name &Wanted) const {
    const auto Found = Rows.find(Wanted);
    return Found == Rows.end() ? nullptr : &Found->second.Value;
  }

  template <typename Name> void erase(const Name &Wanted) {
    if (const auto Found = Rows.find(Wanted); Found != Rows.end())
      Rows.erase(Found);
  }

  void clear() { Rows.clear(); }
  std::size_t size() const { return Rows.size(); }

  /// Calls \p Visit with each key and row, in the order of the keys.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Name, Held] : Rows)
      Visit(Name, Held.Value);
  }

private:
  struct Entry {
    Row Value;
    /// Value of Updates at the last update.
    std::uint64_t UpdatedAt = 0;
  };

  void removeOldest() {
    Rows.erase(std::min_element(
        Rows.begin(), Rows.end(), [](const auto &L, const auto &R) {
          return L.second.UpdatedAt < R.second.UpdatedAt;
        }));
  }

  std::size_t MaxRows;
  std::map<Key, Entry, std::less<>> Rows;
  std::uint64_t Updates = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_RUNTIME_MODEL_BOUNDEDTABLE_H
