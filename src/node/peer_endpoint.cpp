#include "node/peer_endpoint.hpp"

#include <Poco/Logger.h>

#include <exception>
#include <utility>

#include "base/decode_error.hpp"
#include "config/document_parser.hpp"
#include "consensus/message_codec.hpp"
#include "control/register_rpc.hpp"
#include "gossip/wire_keys.hpp"
#include "rpc/request_body.hpp"

namespace merlingauge::node {

using http::ServerExchange;
using nlohmann::json;

namespace {
// While two versions run side by side, incompatible messages come with every pull: one log line in
// this time says enough.
constexpr Duration kIncompatibleLogInterval = std::chrono::seconds(10);

json decodeMessage(const std::string& body) {
  auto document = config::parseDocument(body);
  if (!document) throw DecodeError("message", "not JSON");
  return std::move(*document);
}
}  // namespace

PeerEndpoint::PeerEndpoint(const event::EventLoop& loop, rpc::PeerRpc& rpc,
                           gossip::GossipService& gossip, control::RegisterService& registerService)
    : loop_(loop), rpc_(rpc), gossip_(gossip), registerService_(registerService) {}

void PeerEndpoint::handle(const ServerExchange::Ptr& exchange) {
  rpc::whenBodyComplete(exchange,
                        [this, exchange](const std::string& body) { handleBody(exchange, body); });
}

void PeerEndpoint::handleBody(const ServerExchange::Ptr& exchange, const std::string& body) {
  rpc_.countRequest(body.size());
  const Reply reply = [this, exchange](const std::string& text) {
    rpc_.countResponse(text.size());
    exchange->respond(200, "OK", text, "application/json");
  };
  try {
    dispatch(exchange, decodeMessage(body), reply);
  } catch (const consensus::MissingCachedText&) {
    // The sender thought that this node has the text; it sends all of it the next time.
    exchange->respondError(ErrorKind::noQuorum);
  } catch (const std::exception& error) {
    // A DecodeError; and whatever else decoding may throw must not end the process either.
    logIncompatible(exchange->request.getURI(), error.what());
    exchange->respondError(ErrorKind::incompatibleMessage);
  }
}

void PeerEndpoint::dispatch(const ServerExchange::Ptr& exchange, json message, const Reply& reply) {
  const auto& path = exchange->request.getURI();
  if (path == gossip::wire::kPath) {
    gossip_.handlePull(std::move(message), reply);
  } else if (path == control::kRegisterRpcPath) {
    handleRegisterRequest(exchange, message, reply);
  } else {
    exchange->respondError(ErrorKind::unknownOperation);
  }
}

void PeerEndpoint::handleRegisterRequest(const ServerExchange::Ptr& exchange, const json& message,
                                         const Reply& reply) {
  const auto request = consensus::requestFromJson(message, &registerService_.textCache());
  const auto receiver = consensus::receiverStateOf(request);
  registerService_.handleRequest(
      request,
      [this, exchange, receiver, reply](const std::optional<consensus::RegisterReply>& answer) {
        if (!answer) {
          exchange->respondError(ErrorKind::noQuorum);
          return;
        }
        reply(toJson(*answer, receiver, &registerService_.textCache()).dump());
      });
}

void PeerEndpoint::logIncompatible(const std::string& path, const std::string& reason) {
  const TimePoint now = loop_.now();
  if (incompatibleLoggedAt_ && now - *incompatibleLoggedAt_ <= kIncompatibleLogInterval) return;
  incompatibleLoggedAt_ = now;
  Poco::Logger::get("node").warning("incompatible message to " + path + " rejected: " + reason);
}

}  // namespace merlingauge::node
