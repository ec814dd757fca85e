#ifndef BAOBABCOVE_BASE_TEXT_H
#define BAOBABCOVE_BASE_TEXT_H

#include <string>
#include <vector>

namespace baobabcove {

/// Returns the known name that is closest to \p Name by edit distance. Returns
/// an empty string when none is within half the length of \p Name, or within 2
/// for a short name.
std::string nearestName(const std::string &Name,
                        const std::vector<std::string> &Known);

/// Returns the SHA-256 digest of \p Text in lower-case hexadecimal.
std::string sha256Hex(const std::string &Text);

/// Compares two strings in a time that does not depend on where they differ.
bool equalInConstantTime(const std::string &Left, const std::string &Right);

/// Returns a random name of 16 hexadecimal digits. Thread-safe.
std::string randomName();

/// Reads the file \p Path into \p Content. Returns false when it cannot be
/// opened.
bool readFile(const std::string &Path, std::string &Content);

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_TEXT_H
