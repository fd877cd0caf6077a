#include "http/body_framing.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include "http/header_syntax.hpp"

namespace merlingauge::http {

namespace {
// A line of the chunk syntax holds a size, extensions or one trailer field. Longer than this it is
// no chunk, and waiting for its end would only fill memory.
constexpr std::size_t kMaxChunkLineBytes = 1024;
// So many hexadecimal digits always fit 64 bits.
constexpr std::size_t kMaxChunkSizeDigits = 15;
}  // namespace

BodyReader::BodyReader(BodyFraming framing) : framing_(framing), remaining_(framing.length) {
  if (framing_.kind == FramingKind::none) state_ = State::done;
}

BodyReader::State BodyReader::consume(std::string& input, std::string& output) {
  if (state_ != State::more) return state_;
  const auto before = output.size();
  switch (framing_.kind) {
    case FramingKind::none:
      break;
    case FramingKind::contentLength:
      input.erase(0, moveData(input, 0, output));
      if (remaining_ == 0) state_ = State::done;
      break;
    case FramingKind::untilClose:
      output.append(input);
      input.clear();
      break;
    case FramingKind::chunked:
      state_ = consumeChunks(input, output);
      break;
  }
  bodyBytes_ += output.size() - before;
  return state_;
}

std::size_t BodyReader::moveData(const std::string& input, std::size_t position,
                                 std::string& output) {
  const std::uint64_t available = input.size() - position;
  const auto size = static_cast<std::size_t>(std::min(remaining_, available));
  output.append(input, position, size);
  remaining_ -= size;
  return size;
}

BodyReader::State BodyReader::consumeChunks(std::string& input, std::string& output) {
  std::size_t position = 0;
  State result = State::more;
  while (result == State::more) {
    if (chunkPart_ == ChunkPart::data) {
      position += moveData(input, position, output);
      if (remaining_ > 0) break;
      chunkPart_ = ChunkPart::dataEnd;
    }
    const auto end = input.find("\r\n", position);
    if (end == std::string::npos) {
      const auto rest = input.size() - position;
      const bool noLineEnd = chunkPart_ == ChunkPart::dataEnd && rest > 1;
      if (rest > kMaxChunkLineBytes || noLineEnd) result = State::malformed;
      break;
    }
    const std::string_view line(input.data() + position, end - position);
    position = end + 2;
    result = consumeChunkLine(line);
  }
  input.erase(0, position);
  return result;
}

BodyReader::State BodyReader::consumeChunkLine(std::string_view line) {
  if (!isPrintable(line)) return State::malformed;
  if (chunkPart_ == ChunkPart::dataEnd) {
    chunkPart_ = ChunkPart::size;
    return line.empty() ? State::more : State::malformed;
  }
  if (chunkPart_ == ChunkPart::trailer) {
    if (line.empty()) return State::done;
    FieldCounts unused;
    const auto field = parseFieldLine(line);
    return field && countField(*field, unused) ? State::more : State::malformed;
  }
  return consumeChunkSize(line);
}

BodyReader::State BodyReader::consumeChunkSize(std::string_view line) {
  const auto number = trimBlanks(line.substr(0, line.find(';')));
  if (number.empty() || number.size() > kMaxChunkSizeDigits) return State::malformed;
  std::uint64_t size = 0;
  const char* const end = number.data() + number.size();
  const auto parsed = std::from_chars(number.data(), end, size, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) return State::malformed;
  remaining_ = size;
  chunkPart_ = size == 0 ? ChunkPart::trailer : ChunkPart::data;
  return State::more;
}

void appendBody(FramingKind kind, std::string_view bytes, std::string& wire) {
  if (bytes.empty()) return;
  if (kind != FramingKind::chunked) {
    wire.append(bytes);
    return;
  }
  std::array<char, 20> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
  wire.append(size.data(), end.ptr).append("\r\n").append(bytes).append("\r\n");
}

void appendBodyEnd(FramingKind kind, std::string& wire) {
  if (kind == FramingKind::chunked) wire.append("0\r\n\r\n");
}

}  // namespace merlingauge::http
