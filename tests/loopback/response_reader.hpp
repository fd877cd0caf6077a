// response_reader.hpp: what a strict caller makes of the bytes and the end of one connection.
// Shares no code with the program, whose own reader may be what is wrong.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace merlingauge::test {

/// One response as a caller sees it.
struct ReceivedResponse {
  /// How it ended.
  enum class Ending : std::uint8_t {
    whole,      ///< complete by its framing
    brokenOff,  ///< the connection ended before, or broke
    malformed,  ///< the bytes are no response in the protocol
  };

  Ending ending = Ending::brokenOff;
  int status = 0;
  std::string attemptId;
  std::string seal;  ///< Response-Seal
  std::string body;
  std::string framing;  ///< "length", "chunked", "close", "none"; "" without a whole head
};

/// Splits the bytes of a connection into responses. Responses to HEAD are not known here.
class ResponseReader {
 public:
  /// How the connection ended.
  enum class ConnectionEnd : std::uint8_t { closed, reset };

  /// Adds bytes; complete responses go to responses().
  void add(std::string_view bytes);
  /// The connection has ended; a response under way is complete or broken off by that.
  void end(ConnectionEnd how);

  /// Ended ones, in their order. The interim ones are left out.
  [[nodiscard]] const std::vector<ReceivedResponse>& responses() const { return responses_; }

 private:
  bool readHead();
  bool readBody();
  bool readChunks();
  void finish(ReceivedResponse::Ending ending);

  std::string input_;
  bool headRead_ = false;
  bool ended_ = false;
  ReceivedResponse current_;
  std::size_t length_ = 0;
  std::vector<ReceivedResponse> responses_;
};

}  // namespace merlingauge::test
