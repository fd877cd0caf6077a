// standin: a sound application server and sound clients for the cases in review/. Plain sockets, no
// library beside the system's. Each writes what it saw to a log, one line for each event.
//
// standin server AT BEAT-TO SERVICE ID ZONE LOG [EXTRA-HEADER]
//   On SIGUSR1 it leaves: it deregisters without saying `draining`, sends no further beat and
//   serves on. One beat that it had made before comes LATE_MS after (environment; 0: none). With
//   KILL_FILE (environment) the process whose id stands in that file is killed with the
//   acknowledgement.
// standin call TO LOG WAIT-MS [REST-MS] <REQUEST
//   One request, as its bytes. With REST-MS nothing is read for so long once the answer begins.
// standin keep TO LOG WAIT-MS REST-MS <REQUESTS
//   Requests without bodies on one connection: the first is answered, then the others are sent at
//   once; when an answer begins, nothing is read for REST-MS.
// standin post TO PATH BASE-REVISION WAIT-MS <BODY
//   One call of an operator; prints the status, 0 where there is none.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
constexpr int kWorkMs = 20;           // a server works so long on one request
constexpr int kSmallWindow = 65536;   // "small windows": the same on every machine
constexpr int kBeatMs = 1500;         // heartbeat_interval_s of the settings
constexpr int kReadTimeoutMs = 8000;  // a server closes a connection that rests for so long

sockaddr_in addressOf(const std::string& text) {
  sockaddr_in address{};
  const auto colon = text.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

// `window`: of the socket's receive buffer, in bytes; 0: the system's own.
int connectTo(const std::string& to, int window = 0) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (window > 0) ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  const auto address = addressOf(to);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return -1;
  }
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

bool sendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto now = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) return false;
    sent += static_cast<std::size_t>(now);
  }
  return true;
}

std::string lower(std::string text) {
  for (auto& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

/// Control characters as \xNN, so that a log line stays one line.
std::string printable(const std::string& text) {
  std::string out;
  for (const unsigned char c : text) {
    if (c >= 0x20 && c < 0x7f && c != '\\') {
      out += static_cast<char>(c);
    } else {
      char escaped[8];
      std::snprintf(escaped, sizeof escaped, "\\x%02x", c);
      out += escaped;
    }
  }
  return out;
}

struct Message {
  std::string firstLine;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool complete = false;
  bool untilClose = false;  // neither a length nor chunks
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

/// Reads messages from one connection, by the rules of HTTP/1.1.
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}
  /// False where no head came until `until`, or it is none.
  bool read(Message& message, Clock::time_point until, bool isAnswer) {
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!more(until)) return false;
    }
    parseHead(input_.substr(0, end), message);
    input_.erase(0, end + 4);
    if (lower(message.header("transfer-encoding")) == "chunked") return readChunks(message, until);
    const auto length = message.headers.find("content-length");
    if (length != message.headers.end()) {
      const auto size = static_cast<std::size_t>(std::stoul(length->second));
      while (input_.size() < size && more(until)) {
      }
      message.complete = input_.size() >= size;
      message.body = input_.substr(0, size);
      input_.erase(0, message.body.size());
      return true;
    }
    message.complete = true;
    if (!isAnswer) return true;
    message.untilClose = true;
    while (more(until)) {
    }
    message.body = std::exchange(input_, {});
    return true;
  }
  [[nodiscard]] const std::string& rest() const { return input_; }

 private:
  bool more(Clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    if (left <= 0) return false;
    pollfd wait{socket_, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    char chunk[16384];
    const auto got = ::recv(socket_, chunk, sizeof chunk, 0);
    if (got <= 0) return false;
    input_.append(chunk, static_cast<std::size_t>(got));
    return true;
  }
  bool readChunks(Message& message, Clock::time_point until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = input_.find("\r\n")) == std::string::npos) {
        if (!more(until)) return true;
      }
      const auto size = std::stoul(input_.substr(0, end), nullptr, 16);
      while (input_.size() < end + 2 + size + 2) {
        if (!more(until)) return true;
      }
      message.body += input_.substr(end + 2, size);
      input_.erase(0, end + 2 + size + 2);
      if (size == 0) break;
    }
    message.complete = true;
    return true;
  }
  static void parseHead(const std::string& head, Message& message) {
    message = Message();
    std::size_t at = head.find("\r\n");
    message.firstLine = head.substr(0, at);
    while (at != std::string::npos) {
      const auto next = head.find("\r\n", at + 2);
      const auto line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(" \t", colon + 1);
        message.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
      }
      at = next;
    }
  }

  int socket_;
  std::string input_;
};

// ---- The server.

std::atomic<bool> leaving{false};

long long nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Server {
  std::string at, beatTo, service, id, zone, log, extraHeader;
  std::mutex mutex;
  void note(const std::string& line) {
    const std::lock_guard<std::mutex> guard(mutex);
    std::ofstream(log, std::ios::app) << line << "\n";
  }
};

std::string answer(int status, const char* reason, const std::string& attempt,
                   const std::string& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  if (!attempt.empty()) text += "Attempt-Id: " + attempt + "\r\n";
  return text + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// "result of ID", made up to N bytes where the target ends with `?bytes=N`.
std::string bodyFor(const std::string& target, const std::string& attempt) {
  std::string body = "result of " + attempt;
  const auto asked = target.find("?bytes=");
  if (asked != std::string::npos) body.resize(std::stoul(target.substr(asked + 7)), '.');
  return body;
}

void serve(Server& server, int socket) {
  Reader reader(socket);
  Message request;
  const auto until = [] { return Clock::now() + std::chrono::milliseconds(kReadTimeoutMs); };
  while (reader.read(request, until(), false) && request.complete) {
    const auto attempt = request.header("attempt-id");
    const auto expected = request.header("expected-instance");
    const auto target = request.firstLine.substr(0, request.firstLine.rfind(" HTTP/"));
    std::string out;
    if (request.firstLine.rfind(" HTTP/1.") == std::string::npos) {
      server.note("malformed " + printable(request.firstLine));
      sendAll(socket,
              answer(400, "Bad Request", "", "Not-Executed: 1\r\nConnection: close\r\n", ""));
      break;
    }
    if (attempt.empty()) {
      server.note("no-id " + printable(target));
      out = answer(400, "Bad Request", "", "Not-Executed: 1\r\n", "");
    } else if (!expected.empty() && expected != server.id) {
      out = answer(421, "Misdirected Request", attempt, "Not-Executed: 1\r\n", "");
    } else {
      server.note("run " + printable(attempt + " " + target + " [" + request.body + "]") +
                  " caller=" + request.header("caller-service") + " at=" + server.id +
                  " ms=" + std::to_string(nowMs()));
      std::this_thread::sleep_for(std::chrono::milliseconds(kWorkMs));
      const auto extra = server.extraHeader.empty() ? "" : server.extraHeader + "\r\n";
      out =
          answer(200, "OK", attempt, "Response-Seal: " + server.id + "." + attempt + "\r\n" + extra,
                 bodyFor(target, attempt));
    }
    if (!sendAll(socket, out)) break;
  }
  ::close(socket);
}

int postTo(const std::string& to, const std::string& path, const std::string& headers,
           const std::string& body, int waitMs, std::string* answerBody = nullptr) {
  const int socket = connectTo(to);
  if (socket < 0) return 0;
  Message reply;
  Reader reader(socket);
  const bool sent =
      sendAll(socket, "POST " + path + " HTTP/1.1\r\nHost: " + to +
                          "\r\nContent-Type: application/json\r\n" + headers +
                          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  const bool got =
      sent && reader.read(reply, Clock::now() + std::chrono::milliseconds(waitMs), true);
  ::close(socket);
  if (got && answerBody != nullptr) *answerBody = reply.body;
  return got && reply.firstLine.size() > 12 ? std::atoi(reply.firstLine.c_str() + 9) : 0;
}

// The `heartbeat_target` of an answer, empty where there is none.
std::string targetIn(const std::string& body) {
  const auto key = body.find("\"heartbeat_target\"");
  const auto from = key == std::string::npos ? key : body.find('"', key + 18);
  if (from == std::string::npos) return "";
  return body.substr(from + 1, body.find('"', from + 1) - from - 1);
}

// An operator of the server has it leave.
void leave(Server& server, const std::string& lateBeat) {
  const char* const lateMs = std::getenv("LATE_MS");
  const char* const killFile = std::getenv("KILL_FILE");
  int victim = 0;
  if (killFile != nullptr) std::ifstream(killFile) >> victim;
  const int status = postTo(server.beatTo, "/v1/Instances.Deregister/" + server.id, "", "", 1000);
  const auto acknowledged = Clock::now();
  if (status / 100 == 2 && victim > 0) ::kill(victim, SIGKILL);
  const auto tookUs =
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - acknowledged).count();
  server.note("deregistered " + server.id + " status=" + std::to_string(status) +
              " ms=" + std::to_string(nowMs()) +
              (victim > 0 ? ", node killed " + std::to_string(tookUs) + " us after" : ""));
  if (lateMs == nullptr || std::atoi(lateMs) == 0) return;
  std::this_thread::sleep_for(std::chrono::milliseconds(std::atoi(lateMs)));
  const int late =
      postTo(server.beatTo, "/v1/Instances.Heartbeat/" + server.id, "", lateBeat, 1000);
  server.note("late beat of " + server.id + " status=" + std::to_string(late) +
              " ms=" + std::to_string(nowMs()));
}

void beat(Server& server) {
  std::string target;
  for (int sequence = 1;; ++sequence) {
    const auto body = R"({"address":")" + server.at + R"(","node_info":{"target_service":")" +
                      server.service + R"(","revision":"v1","zone":")" + server.zone +
                      R"(","capacity":8},"status_detail":{"status":"available","sequence":)" +
                      std::to_string(sequence) + R"(,"warmup_left_s":0}})";
    if (leaving) {
      leave(server, body);
      return;
    }
    const auto path = "/v1/Instances.Heartbeat/" + server.id;
    std::string reply;
    // To the node that was named, while it takes them; else to the first of the list that does.
    bool taken = !target.empty() && postTo(target, path, "", body, 1000, &reply) / 100 == 2;
    if (!taken) target.clear();
    for (std::size_t from = 0; !taken && from < server.beatTo.size();) {
      const auto comma = std::min(server.beatTo.find(',', from), server.beatTo.size());
      const auto node = server.beatTo.substr(from, comma - from);
      taken = postTo(node, path, "", body, 1000, &reply) / 100 == 2;
      from = comma + 1;
    }
    if (taken && !targetIn(reply).empty()) target = targetIn(reply);
    for (int waited = 0; waited < kBeatMs && !leaving; waited += 10) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
}

int runServer(char** args, int count) {
  static Server server;
  server.at = args[0];
  server.beatTo = args[1];
  server.service = args[2];
  server.id = args[3];
  server.zone = args[4];
  server.log = args[5];
  if (count > 6) server.extraHeader = args[6];
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = addressOf(server.at);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener, 128) != 0) {
    std::cerr << "standin: can't listen on " << server.at << "\n";
    return 2;
  }
  std::thread([] { beat(server); }).detach();
  for (;;) {
    const int socket = ::accept(listener, nullptr, nullptr);
    if (socket < 0) continue;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([socket] { serve(server, socket); }).detach();
  }
}

// ---- The client.

int runCall(char** args, int restMs) {
  const std::string to = args[0];
  const std::string bytes((std::istreambuf_iterator<char>(std::cin)), {});
  const auto bodyAt = bytes.find("\r\n\r\n") + 4;
  const auto idAt = bytes.find("\r\nAttempt-Id: ") + 14;
  const auto id = bytes.substr(idAt, bytes.find("\r\n", idAt) - idAt);
  const auto target = bytes.substr(0, bytes.find(" HTTP/1.1"));
  std::ofstream log(args[1], std::ios::app);
  log << "sent " << printable(id + " " + target + " [" + bytes.substr(bodyAt) + "]") << std::endl;
  const int socket = connectTo(to);
  Message reply;
  bool got = false;
  if (socket >= 0 && sendAll(socket, bytes)) {
    Reader reader(socket);
    const auto until = Clock::now() + std::chrono::milliseconds(std::atoi(args[2]));
    if (restMs > 0) {
      pollfd wait{socket, POLLIN, 0};
      ::poll(&wait, 1, std::atoi(args[2]));
      std::this_thread::sleep_for(std::chrono::milliseconds(restMs));
    }
    got = reader.read(reply, until, true);
    // What comes behind a complete answer belongs to no request.
    const auto left = std::chrono::milliseconds(100);
    Message surplus;
    if (got && reply.complete && !reply.untilClose) reader.read(surplus, Clock::now() + left, true);
    if (!surplus.firstLine.empty()) log << "surplus " << printable(surplus.firstLine) << "\n";
  }
  if (socket >= 0) ::close(socket);
  if (!got) {
    log << "answer " << id << " none" << std::endl;
    return 1;
  }
  log << "answer " << id << " " << printable(reply.firstLine)
      << " seal=" << printable(reply.header("response-seal"))
      << (reply.complete ? "" : " incomplete") << (reply.untilClose ? " until-close" : "") << " "
      << reply.body.size() << " bytes [" << printable(reply.body.substr(0, 120)) << "]"
      << std::endl;
  return 0;
}

std::string idOf(const std::string& request) {
  const auto at = request.find("\r\nAttempt-Id: ") + 14;
  return request.substr(at, request.find("\r\n", at) - at);
}

int runKeep(char** args) {
  const std::string bytes((std::istreambuf_iterator<char>(std::cin)), {});
  std::vector<std::string> requests;
  for (std::size_t from = 0; from < bytes.size();) {
    const auto end = bytes.find("\r\n\r\n", from) + 4;
    requests.push_back(bytes.substr(from, end - from));
    from = end;
  }
  std::ofstream log(args[1], std::ios::app);
  const int socket = connectTo(args[0], kSmallWindow);
  if (socket < 0) return 1;
  Reader reader(socket);
  const auto until = Clock::now() + std::chrono::milliseconds(std::atoi(args[2]));
  const auto sent = [&](const std::string& request) {
    const auto target = request.substr(0, request.find(" HTTP/1.1"));
    log << "sent " << printable(idOf(request) + " " + target + " []") << std::endl;
    return request;
  };
  const auto hear = [&](const std::string& request) {
    Message reply;
    const bool got = reader.read(reply, until, true);
    log << "answer " << idOf(request) << " ";
    if (!got) {
      log << "none" << std::endl;
    } else {
      log << printable(reply.firstLine) << (reply.complete ? "" : " incomplete") << " "
          << reply.body.size() << " bytes" << std::endl;
    }
    return got && reply.complete;
  };
  bool open = sendAll(socket, sent(requests.front())) && hear(requests.front());
  std::string others;
  for (std::size_t i = 1; i < requests.size(); ++i) others += sent(requests[i]);
  open = open && sendAll(socket, others);
  pollfd wait{socket, POLLIN, 0};
  ::poll(&wait, 1, std::atoi(args[2]));
  std::this_thread::sleep_for(std::chrono::milliseconds(std::atoi(args[3])));
  for (std::size_t i = 1; i < requests.size(); ++i) {
    open = open && hear(requests[i]);
    if (!open && i + 1 < requests.size()) log << "answer " << idOf(requests[i + 1]) << " none\n";
  }
  ::close(socket);
  return 0;
}

int runPost(char** args) {
  const std::string body((std::istreambuf_iterator<char>(std::cin)), {});
  std::cout << postTo(args[0], args[1], "Base-Revision: " + std::string(args[2]) + "\r\n", body,
                      std::atoi(args[3]))
            << "\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGUSR1, [](int) { leaving = true; });
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "server" && argc >= 8) return runServer(argv + 2, argc - 2);
  if (what == "call" && argc >= 5) return runCall(argv + 2, argc > 5 ? std::atoi(argv[5]) : 0);
  if (what == "keep" && argc == 6) return runKeep(argv + 2);
  if (what == "post" && argc == 6) return runPost(argv + 2);
  std::cerr << "usage: see the head of standin.cpp\n";
  return 64;
}
