// response_reader.cpp: what a strict caller makes of the bytes of one connection.
#include "loopback/response_reader.hpp"

#include <cstdlib>

#include "loopback/test_messages.hpp"

namespace merlingauge::test {

namespace {
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr std::size_t kStatusAt = 9;  // behind "HTTP/1.1 "
}  // namespace

void ResponseReader::add(std::string_view bytes) {
  input_.append(bytes);
  while (!ended_) {
    if (!headRead_ && !readHead()) return;
    if (headRead_ && !readBody()) return;
  }
}

bool ResponseReader::readHead() {
  const auto end = input_.find(kHeadEnd);
  if (end == std::string::npos) return false;
  const auto head = input_.substr(0, end + 2);
  input_.erase(0, end + kHeadEnd.size());
  current_ = {};
  if (head.compare(0, 7, "HTTP/1.") != 0) {
    finish(ReceivedResponse::Ending::malformed);
    ended_ = true;
    return false;
  }
  current_.status = std::atoi(head.c_str() + kStatusAt);
  if (current_.status < kFirstFinalStatus) return true;
  current_.attemptId = headerValue(head, "Attempt-Id");
  current_.seal = headerValue(head, "Response-Seal");
  const auto length = headerValue(head, "Content-Length");
  const bool chunked = !headerValue(head, "Transfer-Encoding").empty();
  length_ = std::strtoul(length.c_str(), nullptr, 10);
  if (chunked) {
    current_.framing = "chunked";
  } else if (!length.empty()) {
    current_.framing = "length";
  } else {
    current_.framing = current_.status == kNoContent ? "none" : "close";
  }
  headRead_ = true;
  return true;
}

// True once the response has ended.
bool ResponseReader::readBody() {
  if (current_.framing == "chunked") return readChunks();
  if (current_.framing == "close") {
    current_.body += input_;
    input_.clear();
    return false;
  }
  if (input_.size() < length_) return false;
  current_.body = input_.substr(0, length_);
  input_.erase(0, length_);
  finish(ReceivedResponse::Ending::whole);
  return true;
}

bool ResponseReader::readChunks() {
  const auto size = chunkedBodySize(input_, 0);
  if (!size) return false;
  current_.body = decodeChunks(input_, 0);
  input_.erase(0, *size);
  finish(ReceivedResponse::Ending::whole);
  return true;
}

void ResponseReader::end(ConnectionEnd how) {
  if (ended_) return;
  ended_ = true;
  if (headRead_) {
    const bool whole = how == ConnectionEnd::closed && current_.framing == "close";
    if (current_.framing != "close") current_.body = input_;
    finish(whole ? ReceivedResponse::Ending::whole : ReceivedResponse::Ending::brokenOff);
  } else if (!input_.empty()) {
    current_ = {};
    finish(ReceivedResponse::Ending::brokenOff);
  }
}

void ResponseReader::finish(ReceivedResponse::Ending ending) {
  current_.ending = ending;
  responses_.push_back(std::move(current_));
  current_ = {};
  headRead_ = false;
}

}  // namespace merlingauge::test
