/// \file
/// Small helpers for texts that people and programs read.

#ifndef BAOBABCOVE_BASE_TEXT_H
#define BAOBABCOVE_BASE_TEXT_H

#include <string>
#include <vector>

namespace baobabcove {

/// The known name that is closest to \p Name by edit distance, or an empty
/// string when none is near.
std::string nearestName(const std::string &Name,
                        const std::vector<std::string> &Known);

/// Lower-case hexadecimal SHA-256 of \p Text.
std::string sha256Hex(const std::string &Text);

/// Compares in a time that does not depend on where the texts differ.
bool equalInConstantTime(const std::string &Left, const std::string &Right);

/// A random name of 16 hexadecimal digits.
std::string randomName();

/// Reads a whole file. Returns false when it cannot be read.
bool readFile(const std::string &Path, std::string &Content);

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_TEXT_H
