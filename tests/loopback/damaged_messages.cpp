#include "loopback/damaged_messages.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

namespace merlingauge::test {

using nlohmann::json;

namespace {
// What a damaged text may contain.
const std::vector<std::string> kInsertions = {
    "\r",
    "\n",
    "\r\n",
    "\r\n\r\n",
    std::string(1, '\0'),
    " ",
    "\t",
    ":",
    ",",
    ";",
    "\x7f",
    "\xff",
    "0",
    "-1",
    "+",
    "0x",
    "99999999999999999999",
    "18446744073709551616",
    "ffffffffffffffff",
    "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: x\r\n",
    "Connection: Attempt-Id\r\n",
    "Host: other.example\r\n",
    "Attempt-Id: honest\r\n",
    "0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "GET /safe/short HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: x-inside\r\n\r\n"};
}  // namespace

std::string damagedText(std::string text, Random& random) {
  for (auto n = 1 + below(random, 3); n > 0 && !text.empty(); --n) {
    const auto at = below(random, text.size());
    const auto length = 1 + below(random, std::min<std::size_t>(text.size() - at, 40));
    switch (below(random, 8)) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      case 3:
        text.resize(at);
        break;
      case 4:
        text += text.substr(at);
        break;
      case 5: {  // a whole line twice, or in another place
        const auto from = text.rfind("\r\n", at);
        const auto to = text.find("\r\n", at + 1);
        if (from != std::string::npos && to != std::string::npos && to > from) {
          const auto line = text.substr(from, to - from);
          const auto where = text.find("\r\n", below(random, text.size()));
          if (where != std::string::npos) text.insert(where, line);
        }
        break;
      }
      default:
        text.insert(at, kInsertions.at(below(random, kInsertions.size())));
    }
  }
  return text;
}

namespace {
// Another value in some place of a document.
void damageValue(json& document, Random& random) {
  auto* at = &document;
  while (at->is_structured() && !at->empty() && below(random, 5) != 0) {
    auto it = at->begin();
    std::advance(it, static_cast<std::ptrdiff_t>(below(random, at->size())));
    at = &it.value();
  }
  static const std::vector<json> kValues = {nullptr,
                                            true,
                                            -1,
                                            0,
                                            1e300,
                                            -1e300,
                                            0.5,
                                            ~0ULL,
                                            1ULL << 63,
                                            -(1LL << 62),
                                            "",
                                            "7",
                                            "127.0.0.1:x",
                                            std::string(70000, 'a'),
                                            json::array(),
                                            json::object(),
                                            {1, "a"},
                                            {{"a", 1}},
                                            json::array({json::array({json::array()})})};
  const auto what = below(random, kValues.size() + 3);
  if (what < kValues.size()) {
    *at = kValues[what];
  } else if (at->is_array() && what == kValues.size()) {
    for (int i = 0; i < 500; ++i) at->push_back(at->empty() ? json(1) : (*at)[0]);
  } else if (at->is_structured() && !at->empty()) {
    at->erase(at->begin());
  } else {
    *at = json::array({*at});
  }
}
}  // namespace

std::string damagedJson(const std::string& text, Random& random) {
  if (below(random, 4) == 0) return damagedText(text, random);
  auto document = json::parse(text, nullptr, false);
  if (document.is_discarded()) return text;
  for (auto n = 1 + below(random, 3); n > 0; --n) damageValue(document, random);
  return document.dump();
}

}  // namespace merlingauge::test
