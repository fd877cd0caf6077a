// message_headers_test.cpp: which header fields are passed on, and which end a connection.
#include "http/message_headers.hpp"

#include <gtest/gtest.h>

#include <string>

namespace merlingauge::http {
namespace {

using Poco::Net::HTTPRequest;

bool isInternal(const std::string& name) { return name == "Internal"; }

TEST(CopyHeaders, LeavesOutWhatConcernsOneConnection) {
  HTTPRequest from("GET", "/", "HTTP/1.1");
  from.set("Connection", "keep-alive, X-Session");
  from.set("x-session", "1");
  from.set("TE", "trailers");
  from.set("Content-Length", "3");
  from.set("Internal", "1");
  from.set("Accept", "text/plain");
  HTTPRequest to("GET", "/", "HTTP/1.1");
  copyHeaders(from, to, isInternal);
  EXPECT_EQ(to.size(), 1U);
  EXPECT_EQ(to.get("Accept", ""), "text/plain");
}

TEST(CopyHeaders, KeepsFieldsThatComeTwice) {
  HTTPRequest from("GET", "/", "HTTP/1.1");
  from.add("Accept", "text/plain");
  from.add("Accept", "text/html");
  HTTPRequest to("GET", "/", "HTTP/1.1");
  copyHeaders(from, to, nullptr);
  EXPECT_EQ(to.size(), 2U);
}

TEST(WantsClose, FollowsConnectionFieldAndVersion) {
  HTTPRequest modern("GET", "/", "HTTP/1.1");
  EXPECT_FALSE(wantsClose(modern));
  modern.set("Connection", "x-session, Close");
  EXPECT_TRUE(wantsClose(modern));
  HTTPRequest old("GET", "/", "HTTP/1.0");
  EXPECT_TRUE(wantsClose(old));
  old.set("Connection", "Keep-Alive");
  EXPECT_FALSE(wantsClose(old));
}

TEST(SetFramingHeaders, GivesARequestNoLengthThatItsCallerDidNotGive) {
  HTTPRequest from("GET", "/", "HTTP/1.1");
  HTTPRequest to("GET", "/", "HTTP/1.1");
  setFramingHeaders(BodyFraming{}, from, to);
  EXPECT_FALSE(to.has("Content-Length"));
  from.set("Content-Length", "0");
  setFramingHeaders(BodyFraming{}, from, to);
  EXPECT_EQ(to.get("Content-Length", ""), "0");
}

TEST(SetFramingHeaders, AnnouncesChunksOrLengthAndNothingUntilClose) {
  HTTPRequest chunked("POST", "/", "HTTP/1.1");
  setFramingHeaders({FramingKind::chunked, 0}, chunked);
  EXPECT_EQ(chunked.get("Transfer-Encoding", ""), "chunked");
  HTTPRequest counted("POST", "/", "HTTP/1.1");
  setFramingHeaders({FramingKind::contentLength, 5}, counted);
  EXPECT_EQ(counted.get("Content-Length", ""), "5");
  HTTPRequest untilClose("POST", "/", "HTTP/1.1");
  setFramingHeaders({FramingKind::untilClose, 0}, untilClose);
  EXPECT_TRUE(untilClose.empty());
}

}  // namespace
}  // namespace merlingauge::http
