// test_messages.cpp: the requests and responses of the loopback tests.
#include "loopback/test_messages.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace merlingauge::test {

std::string headerValue(std::string_view head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string_view::npos) return "";
  const auto from = at + name.size() + 4;
  return std::string(head.substr(from, head.find("\r\n", from) - from));
}

std::optional<MessageHead> parseHead(const std::string& bytes) {
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  const auto text = std::string_view(bytes).substr(0, end + 2);
  MessageHead head;
  head.size = end + 4;
  head.bodySize = std::strtoul(headerValue(text, "Content-Length").c_str(), nullptr, 10);
  head.id = headerValue(text, "Attempt-Id");
  if (text.substr(0, 5) == "HTTP/") head.status = std::atoi(bytes.substr(9, 3).c_str());
  head.chunked = !headerValue(text, "Transfer-Encoding").empty();
  head.notExecuted = head.status == 421 || !headerValue(text, "Not-Executed").empty() ||
                     !headerValue(text, "Hut-Refused").empty();
  return head;
}

std::optional<std::size_t> chunkedBodySize(const std::string& bytes, std::size_t offset) {
  std::size_t at = offset;
  for (bool last = false;;) {
    const auto end = bytes.find("\r\n", at);
    if (end == std::string::npos) return std::nullopt;
    if (last && end == at) return end + 2 - offset;
    if (!last) {
      const auto size = std::strtoul(bytes.c_str() + at, nullptr, 16);
      last = size == 0;
      at = end + 2 + (last ? 0 : size + 2);
      if (at > bytes.size()) return std::nullopt;
    } else {
      at = end + 2;
    }
  }
}

std::string decodeChunks(const std::string& bytes, std::size_t offset) {
  std::string body;
  for (std::size_t at = offset;;) {
    const auto size = std::strtoul(bytes.c_str() + at, nullptr, 16);
    if (size == 0) return body;
    at = bytes.find("\r\n", at) + 2;
    body.append(bytes, at, size);
    at += size + 2;
  }
}

std::string chunkOf(std::string_view bytes) {
  if (bytes.empty()) return "";
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return std::string(size.data()).append(bytes).append("\r\n");
}

std::string withChunks(const std::string& response) {
  const auto field = response.find("Content-Length");
  const auto bodyAt = response.find("\r\n\r\n") + 4;
  const std::string text = response.substr(0, field) + "Transfer-Encoding: chunked\r\n\r\n";
  return text + chunkOf(response.substr(bodyAt)) + "0\r\n\r\n";
}

std::string repeatedText(const std::string& word, std::size_t size) {
  std::string out;
  while (out.size() < size) {
    out += word;
    out += ';';
  }
  out.resize(size);
  return out;
}

std::string requestBody(const std::string& id) { return repeatedText("ask " + id, 64); }

std::string responseBody(const std::string& id, bool isLong) {
  return repeatedText(id, isLong ? kLongBodySize : kShortBodySize);
}

std::string requestTo(const std::string& path, const std::string& id,
                      const std::string& extraHeaders) {
  const auto body = requestBody(id);
  return "POST " + path + " HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: " + id + "\r\n" +
         extraHeaders + "Deadline-Ms: 1500\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string responseTo(const std::string& id, bool isLong) {
  const auto body = responseBody(id, isLong);
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace merlingauge::test
