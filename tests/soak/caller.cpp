// caller.cpp: a caller of a soak run.
#include "soak/caller.hpp"

#include <Poco/Exception.h>

#include <array>
#include <chrono>
#include <thread>

#include "loopback/test_messages.hpp"

namespace merlingauge::test {

namespace {
using std::chrono::steady_clock;

const Poco::Timespan kConnectTimeout(0, 500000);
const Poco::Timespan kReadInterval(0, 20000);
// Above every deadline of a request.
constexpr std::chrono::seconds kPatience{4};
constexpr int kMaxGroups = 4;
constexpr int kMaxPipelined = 3;
constexpr int kGiveUpPercent = 4;
constexpr int kHttp10Percent = 25;
constexpr int kNonIdempotentPercent = 40;
}  // namespace

SoakCaller::SoakCaller(std::string name, std::vector<std::string> addresses, SoakLedger& ledger,
                       std::uint64_t seed)
    : name_(std::move(name)), addresses_(std::move(addresses)), ledger_(ledger), random_(seed) {}

int SoakCaller::draw(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(random_);
}

void SoakCaller::run(const std::atomic<bool>& stop) {
  while (!stop) {
    try {
      converse();
    } catch (const Poco::Exception&) {
      ledger_.count("no connection");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
}

void SoakCaller::converse() {
  Conversation conversation;
  const auto& address =
      addresses_[static_cast<std::size_t>(draw(static_cast<int>(addresses_.size())))];
  conversation.socket.connect(Poco::Net::SocketAddress(address), kConnectTimeout);
  conversation.http10 = draw(100) < kHttp10Percent;
  conversation.keepAlive = !conversation.http10 || draw(2) == 0;
  const int groups = conversation.keepAlive ? 1 + draw(kMaxGroups) : 1;
  for (int group = 0; group < groups && !conversation.ended; ++group) {
    sendGroup(conversation);
    if (draw(100) < kGiveUpPercent) {
      std::this_thread::sleep_for(std::chrono::milliseconds(draw(60)));
      ledger_.onGivenUp();
      return;
    }
    readAnswers(conversation);
    // Nothing waits for an answer now: what comes is nobody's.
    if (!conversation.ended) readSome(conversation, Poco::Timespan(0, draw(20000)));
  }
}

void SoakCaller::sendGroup(Conversation& conversation) {
  const int size = conversation.http10 ? 1 : 1 + draw(kMaxPipelined);
  std::string text;
  for (int i = 0; i < size; ++i) {
    SoakRequest request;
    request.id = name_ + "-" + std::to_string(++sent_);
    request.nonIdempotent = draw(100) < kNonIdempotentPercent;
    ledger_.onSent(request);
    text += requestText(conversation, request);
    conversation.pending.push_back(request);
  }
  try {
    conversation.socket.sendBytes(text.data(), static_cast<int>(text.size()));
  } catch (const Poco::Exception&) {
    // What has been answered before can still be read.
  }
}

std::string SoakCaller::requestText(const Conversation& conversation, const SoakRequest& request) {
  constexpr std::array<int, 4> kBodySizes = {0, 10, 3000, 90000};
  const auto size = kBodySizes.at(static_cast<std::size_t>(draw(kBodySizes.size())));
  std::string text = std::string("POST ") + (request.nonIdempotent ? "/once/x" : "/safe/x") +
                     (conversation.http10 ? " HTTP/1.0" : " HTTP/1.1") +
                     "\r\nHost: echo.example\r\nAttempt-Id: " + request.id +
                     "\r\nDeadline-Ms: " + std::to_string(200 + draw(1500)) + "\r\n";
  if (conversation.http10 && conversation.keepAlive) text += "Connection: keep-alive\r\n";
  const auto body = size == 0 ? "" : repeatedText(request.id, static_cast<std::size_t>(size));
  if (conversation.http10 || draw(2) == 0) {
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  return text + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(body) + "0\r\n\r\n";
}

void SoakCaller::readAnswers(Conversation& conversation) {
  const auto until = steady_clock::now() + kPatience;
  while (!conversation.pending.empty() && !conversation.ended && steady_clock::now() < until) {
    readSome(conversation, kReadInterval);
  }
  for (std::size_t i = 0; i < conversation.pending.size(); ++i) ledger_.onUnanswered();
  // Late answers to these would be taken for those to later ones.
  if (!conversation.pending.empty()) conversation.ended = true;
}

bool SoakCaller::readSome(Conversation& conversation, const Poco::Timespan& wait) {
  if (!conversation.socket.poll(wait, Poco::Net::Socket::SELECT_READ)) return false;
  std::array<char, 16384> chunk{};
  auto end = ResponseReader::ConnectionEnd::closed;
  int size = 0;
  try {
    size = conversation.socket.receiveBytes(chunk.data(), chunk.size());
  } catch (const Poco::Exception&) {
    end = ResponseReader::ConnectionEnd::reset;
  }
  if (size > 0) {
    conversation.reader.add({chunk.data(), static_cast<std::size_t>(size)});
  } else {
    conversation.ended = true;
    conversation.reader.end(end);
  }
  takeResponses(conversation);
  return true;
}

void SoakCaller::takeResponses(Conversation& conversation) {
  const auto& responses = conversation.reader.responses();
  while (conversation.answered < responses.size()) {
    const auto& response = responses[conversation.answered++];
    if (conversation.pending.empty()) {
      ledger_.addViolation("unasked: a response to '" + response.attemptId + "', status " +
                           std::to_string(response.status) + ", where no request waits");
      continue;
    }
    ledger_.onResponse(conversation.pending.front(), response);
    conversation.pending.pop_front();
  }
}

}  // namespace merlingauge::test
