#include "http/ChunkedBody.h"

#include <algorithm>

#include <Poco/NumberParser.h>

namespace baobabcove {

namespace {

/// Longest chunk size line with its extensions, and longest trailer section.
constexpr std::size_t MaxLineBytes = 256;
constexpr std::size_t MaxTrailerBytes = 4096;
/// Digits of a chunk size that cannot overflow.
constexpr std::size_t MaxSizeDigits = 8;

/// Parses the size at the beginning of a chunk's first line.
bool parseSize(const std::string &Line, std::size_t &Size) {
  const std::size_t End = Line.find_first_of("; \t");
  const std::string Digits = Line.substr(0, End);
  unsigned Parsed = 0;
  if (Digits.empty() || Digits.size() > MaxSizeDigits ||
      Digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos ||
      !Poco::NumberParser::tryParseHex(Digits, Parsed))
    return false;
  Size = Parsed;
  return true;
}

} // namespace

ChunkedBody::State ChunkedBody::endOfLine(std::size_t MaxBytes,
                                          std::size_t BodyBytes) {
  if (!Line.empty() && Line.back() == '\r')
    Line.pop_back();
  const std::string Ended = std::move(Line);
  Line.clear();
  switch (Next) {
  case Expecting::Size:
    if (!parseSize(Ended, ChunkRemaining))
      return State::Malformed;
    if (ChunkRemaining > MaxBytes - std::min(MaxBytes, BodyBytes))
      return State::TooLarge;
    Next = ChunkRemaining == 0 ? Expecting::Trailer : Expecting::Data;
    return State::Incomplete;
  case Expecting::DataEnd:
    Next = Expecting::Size;
    return Ended.empty() ? State::Incomplete : State::Malformed;
  case Expecting::Trailer:
    return Ended.empty() ? State::Complete : State::Incomplete;
  case Expecting::Data:
    break;
  }
  return State::Malformed;
}

ChunkedBody::State ChunkedBody::decode(std::string_view Input,
                                       std::size_t MaxBytes, std::string &Body,
                                       std::size_t &Consumed) {
  Consumed = 0;
  while (Consumed < Input.size()) {
    if (Next == Expecting::Data) {
      const std::size_t Count =
          std::min(ChunkRemaining, Input.size() - Consumed);
      Body.append(Input.substr(Consumed, Count));
      Consumed += Count;
      ChunkRemaining -= Count;
      LineBytes = 0;
      if (ChunkRemaining == 0)
        Next = Expecting::DataEnd;
      continue;
    }
    const char Byte = Input[Consumed++];
    ++LineBytes;
    if (Byte != '\n') {
      Line += Byte;
      if (Line.size() > MaxLineBytes || LineBytes > MaxTrailerBytes)
        return State::Malformed;
      continue;
    }
    const State Result = endOfLine(MaxBytes, Body.size());
    if (Result != State::Incomplete)
      return Result;
  }
  return State::Incomplete;
}

} // namespace baobabcove
