// peer_headers_test.cpp: the headers between egress and ingress are those of version 0.1.0.
#include "proxy/peer_headers.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "compatibility/fixture_files.hpp"
#include "proxy/mesh_transport.hpp"

namespace merlingauge::test {
namespace {

// One request between egress and ingress, its interim response and the final one.
struct RecordedHop {
  bool byNode = true;  // else the fixture writer sent the request
  std::map<std::string, std::string> request;
  int interimStatus = 0;
  int status = 0;
  std::map<std::string, std::string> response;
};

std::vector<RecordedHop> recordedHops() {
  std::vector<RecordedHop> out;
  std::istringstream text(readFixture(kFixtures / "hop-headers.txt"));
  std::map<std::string, std::string>* into = nullptr;
  for (std::string line; std::getline(text, line);) {
    if (line.rfind("request", 0) == 0) {
      out.emplace_back();
      out.back().byNode = line == "request";
      into = &out.back().request;
    } else if (line.rfind("sign ", 0) == 0) {
      out.back().interimStatus = std::stoi(line.substr(5));
    } else if (line.rfind("answer ", 0) == 0) {
      out.back().status = std::stoi(line.substr(7));
      into = &out.back().response;
    } else if (const auto colon = line.find(": "); colon != std::string::npos) {
      (*into)[line.substr(0, colon)] = line.substr(colon + 2);
    }
  }
  return out;
}

std::map<std::string, std::string> peerHeadersIn(
    const std::map<std::string, std::string>& headers) {
  std::map<std::string, std::string> out;
  for (const auto& [name, value] : headers) {
    if (proxy::peer_headers::isPeerHeader(name)) out[name] = value;
  }
  return out;
}

const RecordedHop& hopWhere(const std::function<bool(const RecordedHop&)>& fits) {
  static const auto kHops = recordedHops();
  const auto it = std::find_if(kHops.begin(), kHops.end(), fits);
  if (it == kHops.end()) throw std::runtime_error("no such hop in the fixture");
  return *it;
}

const RecordedHop& hopRejectedAs(const std::string& reason) {
  return hopWhere([&](const RecordedHop& hop) {
    const auto it = hop.response.find("Hut-Refused");
    return it != hop.response.end() && it->second == reason;
  });
}

proxy::ResponseInfo decodedResponse(const RecordedHop& hop) {
  Poco::Net::HTTPResponse response(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(hop.status));
  for (const auto& [name, value] : hop.response) response.set(name, value);
  return proxy::MeshTransport(21803).readResponse(response);
}

TEST(PeerHeaders, NamesAreTheRecordedOnes) {
  std::set<std::string> requests;
  std::set<std::string> responses;
  for (const auto& hop : recordedHops()) {
    for (const auto& [name, value] : peerHeadersIn(hop.request)) requests.insert(name);
    for (const auto& [name, value] : peerHeadersIn(hop.response)) responses.insert(name);
  }
  EXPECT_EQ(requests,
            (std::set<std::string>{proxy::peer_headers::kPriority, proxy::peer_headers::kMayQueue,
                                   proxy::peer_headers::kTimeToTarget,
                                   proxy::peer_headers::kNonIdempotent}));
  EXPECT_EQ(responses, (std::set<std::string>{proxy::peer_headers::kRejected,
                                              proxy::peer_headers::kUnknownOutcome,
                                              proxy::peer_headers::kLoad}));
}

TEST(PeerHeaders, RequestCarriesTheRecordedHeaders) {
  int compared = 0;
  for (const auto& hop : recordedHops()) {
    if (!hop.byNode) continue;
    const auto recorded = peerHeadersIn(hop.request);
    proxy::AttemptContext context;
    context.instance = InstanceId("i-1");
    context.priority = std::stoi(recorded.at("Hut-Rank"));
    context.mayQueue = recorded.contains("Hut-Wait");
    context.nonIdempotent = recorded.contains("Hut-Once");
    context.timeToTarget = fromMillis(std::stod(recorded.at("Hut-Target")));
    Poco::Net::HTTPRequest request;
    proxy::MeshTransport(21803).addHeaders(context, request);
    EXPECT_EQ((std::map<std::string, std::string>{request.begin(), request.end()}), recorded);
    ++compared;
  }
  EXPECT_GE(compared, 4);
}

TEST(PeerHeaders, NonIdempotentRequestIsMarked) {
  const auto& nonIdempotent = hopWhere(
      [](const RecordedHop& hop) { return hop.request.contains("Hut-Once") && hop.byNode; });
  EXPECT_EQ(nonIdempotent.request.at("Hut-Once"), "1");
  EXPECT_EQ(nonIdempotent.request.at("Hut-Rank"), "1");
  EXPECT_EQ(nonIdempotent.request.at("Hut-Target"), "2000");
  EXPECT_EQ(nonIdempotent.request.at("Expected-Instance"), "i-1");
  EXPECT_EQ(nonIdempotent.request.at("Caller-Service"), "front");
  EXPECT_EQ(nonIdempotent.request.at("Deadline-Ms"), "2000");
}

TEST(PeerHeaders, ResponseReportsTheLoad) {
  const auto& served = hopWhere([](const RecordedHop& hop) { return hop.status == 200; });
  EXPECT_EQ(served.response.at(proxy::peer_headers::kLoad), "0,2");
  const auto response = decodedResponse(served);
  EXPECT_FALSE(response.rejection);
  EXPECT_EQ(response.reportedLoad, 0.0);
}

TEST(PeerHeaders, RejectionReasonsAreDistinct) {
  EXPECT_EQ(decodedResponse(hopRejectedAs("full")).rejection, proxy::AttemptOutcome::overloaded);
  EXPECT_EQ(decodedResponse(hopRejectedAs("full")).reportedLoad, 2.0);
  EXPECT_EQ(decodedResponse(hopRejectedAs("not-there")).rejection,
            proxy::AttemptOutcome::unavailable);
  EXPECT_EQ(decodedResponse(hopRejectedAs("turned-away")).rejection,
            proxy::AttemptOutcome::notExecuted);
  EXPECT_EQ(std::string(proxy::peer_headers::kOverloaded), "full");
  EXPECT_EQ(std::string(proxy::peer_headers::kUnavailable), "not-there");
  EXPECT_EQ(std::string(proxy::peer_headers::kNotExecuted), "turned-away");
}

TEST(PeerHeaders, UnknownOutcomeIsNoRejection) {
  const auto& unclear =
      hopWhere([](const RecordedHop& hop) { return hop.response.contains("Hut-Unclear"); });
  EXPECT_EQ(unclear.status, 502);
  EXPECT_EQ(unclear.response.at(proxy::peer_headers::kUnknownOutcome), "1");
  EXPECT_EQ(decodedResponse(unclear).rejection, proxy::AttemptOutcome::maybeExecuted);
}

TEST(PeerHeaders, InterimResponseComesBeforeTheFinalOne) {
  const auto& served = hopWhere([](const RecordedHop& hop) { return hop.status == 200; });
  EXPECT_EQ(served.interimStatus, 102);
  EXPECT_TRUE(proxy::MeshTransport(21803).sendsInterimResponse());
}

TEST(PeerHeaders, CallersCanNotSetThem) {
  for (const auto& hop : recordedHops()) {
    for (const auto* headers : {&hop.request, &hop.response}) {
      for (const auto& [name, value] : *headers) {
        if (name.rfind("Hut-", 0) != 0) continue;
        EXPECT_TRUE(proxy::peer_headers::isDroppedAtEgress(name)) << name;
      }
    }
  }
}

}  // namespace
}  // namespace merlingauge::test
