// message_head_test.cpp: a head is written as it was read and checked, byte for byte.
#include "http/message_head.hpp"

#include <gtest/gtest.h>

#include <string>

namespace merlingauge::http {
namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// Text in the form of RFC 2047 that decodes to line ends, in both of its encodings.
constexpr const char* kEncodedLineEnds[] = {"=?utf-8?B?YQ0KDQpi?=", "=?utf-8?Q?a=0D=0A=0D=0Ab?=",
                                            "=?iso-8859-1?q?=0AHost:_b?= =?utf-8?B?DQo=?="};

// Guards against review cases 1 and 2: a value that was decoded between the check and the write.
TEST(RequestHead, IsWrittenAsItCame) {
  for (const std::string value : kEncodedLineEnds) {
    std::string head = "POST /a?b=c HTTP/1.1\r\nHost: h\r\n";
    head.append("Notice-Text: ").append(value).append("\r\n");
    head.append("Attempt-Id: ").append(value).append("\r\n");
    head.append("Content-Length: 2\r\n\r\n");
    HTTPRequest request;
    const auto framing = parseRequestHead(head, request);
    ASSERT_TRUE(framing) << head;
    EXPECT_EQ(framing->length, 2U);
    EXPECT_EQ(request.get("Notice-Text", ""), value);
    EXPECT_EQ(serializeHead(request).value_or(""), head);
  }
}

// The same towards the client (review, "More of the same": MIXED at a gateway).
TEST(ResponseHead, IsWrittenAsItCame) {
  for (const std::string value : kEncodedLineEnds) {
    std::string head = "HTTP/1.1 200 ";
    head.append(value).append("\r\n");
    head.append("Notice-Text: ").append(value).append("\r\n");
    head.append("Response-Seal: ").append(value).append("\r\n");
    head.append("Content-Length: 2\r\n\r\n");
    HTTPResponse response;
    const auto framing = parseResponseHead(head, false, response);
    ASSERT_TRUE(framing) << head;
    EXPECT_EQ(framing->length, 2U);
    EXPECT_EQ(serializeHead(response).value_or(""), head);
  }
}

TEST(RequestHead, KeepsRepeatedFieldsAndBytesBeyondAscii) {
  HTTPRequest request;
  const std::string head =
      "GET / HTTP/1.1\r\nHost: h\r\nAccept: a\r\nAccept: b\r\nName: J\xc3\xb6rg \xff\r\n\r\n";
  ASSERT_TRUE(parseRequestHead(head, request));
  EXPECT_EQ(serializeHead(request).value_or(""), head);
}

TEST(ResponseHead, NeedsNoReason) {
  HTTPResponse response;
  ASSERT_TRUE(parseResponseHead("HTTP/1.1 204\r\n\r\n", false, response));
  EXPECT_EQ(response.getStatus(), HTTPResponse::HTTP_NO_CONTENT);
  EXPECT_EQ(response.getReason(), "");
}

// Guards against request smuggling by a text that no head was checked for, as an instance's id.
TEST(RequestHead, IsNotWrittenWithALineEndInside) {
  HTTPRequest sound("GET", "/", "HTTP/1.1");
  sound.set("Host", "h");
  EXPECT_TRUE(serializeHead(sound));
  for (const auto& value : {std::string("a\r\nb: c"), std::string("a\nb"), std::string("a\r"),
                            std::string("a\0b", 3), std::string("\x7f")}) {
    HTTPRequest request = sound;
    request.set("Expected-Instance", value);
    EXPECT_FALSE(serializeHead(request)) << value;
  }
  for (const std::string name : {"", "a b", "a:", "a\r\nb"}) {
    HTTPRequest request = sound;
    request.add(name, "value");
    EXPECT_FALSE(serializeHead(request)) << name;
  }
  for (const std::string target : {"/ HTTP/1.1\r\nHost: a\r\n\r\nGET /", "/a b"}) {
    HTTPRequest request = sound;
    request.setURI(target);
    EXPECT_FALSE(serializeHead(request)) << target;
  }
}

TEST(ResponseHead, IsNotWrittenWithALineEndInside) {
  HTTPResponse response("HTTP/1.1", HTTPResponse::HTTP_OK, "OK\r\nA: b");
  EXPECT_FALSE(serializeHead(response));
  response.setReason("OK");
  EXPECT_TRUE(serializeHead(response));
  response.set("Response-Seal", "a\r\n\r\nb");
  EXPECT_FALSE(serializeHead(response));
}

}  // namespace
}  // namespace merlingauge::http
