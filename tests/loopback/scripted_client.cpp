// scripted_client.cpp: a client on one connection in a loopback test.
#include "loopback/scripted_client.hpp"

namespace merlingauge::test {

ScriptedClient::ScriptedClient(EventLoop& loop, const SocketAddress& address, RequestLedger& ledger)
    : ledger_(ledger), connection_(SocketEndpoint::connect(loop, address)) {
  if (!connection_) return;
  connection_->onData = [this] { onData(); };
  connection_->onEnd = [this](SocketEndpoint::End) { end(); };
}

void ScriptedClient::send(const std::vector<ScriptedRequest>& requests) {
  std::string bytes;
  for (const auto& [path, id, extraHeaders] : requests) {
    pending_.push_back({id, path.find("/big") != std::string::npos});
    bytes += requestTo(path, id, extraHeaders);
  }
  if (isOpen()) {
    connection_->write(bytes);
  } else {
    end();
  }
}

void ScriptedClient::end() {
  if (connection_) connection_->close();
  pending_.clear();
  if (onIdle) onIdle();
}

void ScriptedClient::onData() {
  while (auto head = parseHead(connection_->received)) {
    if (head->status < 200) {
      connection_->received.erase(0, head->size);
      continue;
    }
    if (head->chunked) {
      const auto size = chunkedBodySize(connection_->received, head->size);
      if (!size) return;
      head->bodySize = *size;
    }
    if (connection_->received.size() < head->size + head->bodySize) return;
    if (!handleResponse(*head)) return;
  }
  if (!connection_->received.empty() && pending_.empty()) {
    ledger_.addViolation("unasked",
                         "bytes behind the last answer: " + connection_->received.substr(0, 80));
    connection_->received.clear();
  }
  if (pending_.empty() && onIdle) onIdle();
}

// The complete response at the start of what was received; false where reading ends with it.
bool ScriptedClient::handleResponse(const MessageHead& head) {
  const auto headText = connection_->received.substr(0, head.size);
  const auto body = head.chunked ? decodeChunks(connection_->received, head.size)
                                 : connection_->received.substr(head.size, head.bodySize);
  connection_->received.erase(0, head.size + head.bodySize);
  if (onHead) onHead(headText);
  if (pending_.empty()) {
    ledger_.addViolation("unasked", "an answer where no request waits: " + headText);
    return false;
  }
  const auto request = pending_.front();
  pending_.pop_front();
  const auto violationsBefore = ledger_.violations.size();
  checkResponse(request, head, headText, body);
  if (headerValue(headText, "Connection") == "close" ||
      ledger_.violations.size() > violationsBefore) {
    end();
    return false;
  }
  return true;
}

void ScriptedClient::checkResponse(const PendingRequest& request, const MessageHead& head,
                                   const std::string& headText, const std::string& body) {
  const auto& id = request.id;
  ledger_.statuses[id] = head.status;
  if (head.id != id) {
    ledger_.addViolation("other's", id + " is answered what is " + head.id + "'s");
  }
  if (id[0] == 'x') return;  // its server responds badly on purpose
  if (head.status >= 200 && head.status < 300) {
    if (headerValue(headText, "Response-Seal") != "seal " + id ||
        body != responseBody(id, request.expectsLongResponse)) {
      ledger_.addViolation("mixed", id + " gets a success that is not its server's");
    }
  } else if (head.status != 421 && head.status != 502 && head.status != 503 && head.status != 504) {
    ledger_.addViolation("unclear", id + " is answered " + std::to_string(head.status));
  }
}

}  // namespace merlingauge::test
