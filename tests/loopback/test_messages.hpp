// test_messages.hpp: the requests and responses of the loopback tests, and just enough HTTP framing
// to tell where they end.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace merlingauge::test {

/// The head of a request or response whose body has a Content-Length.
struct MessageHead {
  std::size_t size = 0;      ///< bytes up to the body
  std::size_t bodySize = 0;  ///< bytes; 0 without a Content-Length
  int status = 0;            ///< 0: a request
  std::string id;            ///< Attempt-Id
  bool chunked = false;      ///< no Content-Length; chunkedBodySize tells the body's size
  bool notExecuted = false;  ///< a response that proves that the request has not run
};

/// Value of a header in a head that begins with its start line; empty where it is absent.
std::string headerValue(std::string_view head, const std::string& name);

/// The head at the start of these bytes; nothing while it is not complete.
std::optional<MessageHead> parseHead(const std::string& bytes);

/// Size of the chunked body at `offset`, trailers included; nothing while it is not complete.
std::optional<std::size_t> chunkedBodySize(const std::string& bytes, std::size_t offset);

/// These bytes as one chunk of a chunked body; nothing for no bytes, which would end it.
std::string chunkOf(std::string_view bytes);

/// The body in the chunks at `offset`, which are complete.
std::string decodeChunks(const std::string& bytes, std::size_t offset);

/// The response, which has a Content-Length, with its body in chunks instead.
std::string withChunks(const std::string& response);

/// Text of this size that consists of the word over and over.
std::string repeatedText(const std::string& word, std::size_t size);

/// Fits into one segment of a response.
constexpr std::size_t kShortBodySize = 300;
/// Half of it is more than the egress buffers, so that it streams the response.
constexpr std::size_t kLongBodySize = 150000;

std::string requestBody(const std::string& id);
std::string responseBody(const std::string& id, bool isLong);
/// The request with this Attempt-Id, as bytes on the wire. `extraHeaders`: field lines, each with
/// its line end.
std::string requestTo(const std::string& path, const std::string& id,
                      const std::string& extraHeaders = "");
/// The correct response to the request with this Attempt-Id, as bytes on the wire.
std::string responseTo(const std::string& id, bool isLong);

}  // namespace merlingauge::test
