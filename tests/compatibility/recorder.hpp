// A recorder on the way between real nodes: it stands where a node expects another one, passes
// every message on as it is and keeps both sides of it.
#pragma once

#include <atomic>

#include "loopback/play.hpp"

namespace merlingauge::test {

struct Exchange {
  std::string from;  // of nodes: their addresses
  std::string to;
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> askHeaders;
  std::string ask;
  std::vector<int> signs;  // statuses of heads before the answer's own
  int status = 0;
  std::vector<std::pair<std::string, std::string>> answerHeaders;
  std::string answer;
};

class Recorder {
 public:
  using Cut =
      std::function<bool(const std::string& from, const std::string& to, const std::string& path)>;

  ~Recorder() {
    for (const auto& server : servers_) server->stopAll(true);
  }

  // Passes on what arrives at `listen` to `target`.
  void relay(const std::string& from, const std::string& to, const std::string& listen,
             const std::string& target) {
    auto* parameters = new net::HTTPServerParams;
    parameters->setKeepAlive(false);  // a kept connection would hold a thread
    pools_.push_back(std::make_unique<Poco::ThreadPool>(1, 12));
    servers_.push_back(std::make_unique<net::HTTPServer>(
        new Factory(*this, from, to, target), *pools_.back(),
        net::ServerSocket(net::SocketAddress(listen)), parameters));
    servers_.back()->start();
  }

  // Messages for which it holds are lost, also those whose answer is still awaited.
  void cut(Cut rule) {
    const std::lock_guard<std::mutex> hold(lock_);
    cut_ = std::move(rule);
  }

  [[nodiscard]] std::vector<Exchange> exchanges() {
    const std::lock_guard<std::mutex> hold(lock_);
    return exchanges_;
  }

 private:
  struct Handler : net::HTTPRequestHandler {
    Handler(Recorder& r, std::string f, std::string t, std::string at)
        : recorder(r), from(std::move(f)), to(std::move(t)), target(std::move(at)) {}
    void handleRequest(net::HTTPServerRequest& request,
                       net::HTTPServerResponse& response) override {
      Exchange exchange{from, to, request.getMethod(), request.getURI(), {}, "", {}, 0, {}, ""};
      exchange.askHeaders.assign(request.begin(), request.end());
      Poco::StreamCopier::copyToString(request.stream(), exchange.ask);
      if (recorder.isCut(exchange) || !pass(request, exchange, response) ||
          recorder.isCut(exchange)) {
        response.setStatusAndReason(net::HTTPResponse::HTTP_BAD_GATEWAY);
        response.setContentLength(0);
        response.send();
        return;
      }
      recorder.keep(exchange);
      response.sendBuffer(exchange.answer.data(), exchange.answer.size());
    }
    bool pass(net::HTTPServerRequest& request, Exchange& exchange,
              net::HTTPServerResponse& response) const {
      try {
        net::HTTPClientSession session{net::SocketAddress(target)};
        session.setTimeout(Poco::Timespan(8, 0));
        net::HTTPRequest out(exchange.method, exchange.path, "HTTP/1.1");
        for (const auto& [name, value] : request) {
          if (Poco::icompare(name, "Connection") != 0) out.set(name, value);
        }
        session.sendRequest(out) << exchange.ask;
        net::HTTPResponse in;
        auto* body = &session.receiveResponse(in);
        while (in.getStatus() < 200) {
          // The asker waits for it, and for the rest no longer than that tells it to.
          const std::string sign =
              "HTTP/1.1 " + std::to_string(in.getStatus()) + " " + in.getReason() + "\r\n\r\n";
          static_cast<net::HTTPServerRequestImpl&>(request).socket().sendBytes(
              sign.data(), static_cast<int>(sign.size()));
          exchange.signs.push_back(in.getStatus());
          body = &session.receiveResponse(in);
        }
        Poco::StreamCopier::copyToString(*body, exchange.answer);
        exchange.status = in.getStatus();
        exchange.answerHeaders.assign(in.begin(), in.end());
        response.setStatusAndReason(in.getStatus(), in.getReason());
        for (const auto& [name, value] : in) {
          const bool ofConnection = Poco::icompare(name, "Connection") == 0 ||
                                    Poco::icompare(name, "Transfer-Encoding") == 0;
          if (!ofConnection) response.set(name, value);
        }
        return true;
      } catch (const Poco::Exception&) {
        return false;
      }
    }
    Recorder& recorder;
    std::string from;
    std::string to;
    std::string target;
  };
  struct Factory : net::HTTPRequestHandlerFactory {
    Factory(Recorder& r, std::string f, std::string t, std::string at)
        : recorder(r), from(std::move(f)), to(std::move(t)), target(std::move(at)) {}
    net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override {
      return new Handler(recorder, from, to, target);
    }
    Recorder& recorder;
    std::string from;
    std::string to;
    std::string target;
  };

  bool isCut(const Exchange& exchange) {
    const std::lock_guard<std::mutex> hold(lock_);
    return cut_ && cut_(exchange.from, exchange.to, exchange.path);
  }
  void keep(const Exchange& exchange) {
    const std::lock_guard<std::mutex> hold(lock_);
    exchanges_.push_back(exchange);
  }

  std::mutex lock_;
  Cut cut_;
  std::vector<Exchange> exchanges_;
  std::vector<std::unique_ptr<Poco::ThreadPool>> pools_;
  std::vector<std::unique_ptr<net::HTTPServer>> servers_;
};

}  // namespace merlingauge::test
