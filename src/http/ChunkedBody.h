#ifndef BAOBABCOVE_HTTP_CHUNKEDBODY_H
#define BAOBABCOVE_HTTP_CHUNKEDBODY_H

#include <cstddef>
#include <string>
#include <string_view>

namespace baobabcove {

/// Incremental decoder of a body in chunked transfer coding. Chunk extensions
/// and trailers are discarded.
class ChunkedBody {
public:
  enum class State { Incomplete, Complete, Malformed, TooLarge };

  /// Decodes a prefix of \p Input and appends its content to \p Body. Stops at
  /// the end of the body, and before \p Body exceeds \p MaxBytes. Sets
  /// \p Consumed to the length of the prefix.
  State decode(std::string_view Input, std::size_t MaxBytes, std::string &Body,
               std::size_t &Consumed);

private:
  enum class Expecting { Size, Data, DataEnd, Trailer };
  State endOfLine(std::size_t MaxBytes, std::size_t BodyBytes);

  Expecting Next = Expecting::Size;
  /// The line read so far, which is limited in length.
  std::string Line;
  /// Bytes of all lines without content, since the last content.
  std::size_t LineBytes = 0;
  std::size_t ChunkRemaining = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_HTTP_CHUNKEDBODY_H
