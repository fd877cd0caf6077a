// standin-2.cpp: the stand-ins that the cases 6 and later start, in one program. POSIX sockets only.
//
//   standin-2 order FROM-SECONDS FOR-SECONDS FILE BASE RECORD HOST:PORT...
//       An operator: sends FILE as a whole configuration on top of BASE to the control nodes in turn,
//       a second of silence each and a pause that grows to a second, until one answers 200 or a
//       refusal that ends the call. Exit 0: acknowledged; 1: not within FOR-SECONDS; 3: refused.
//   standin-2 read RECORD HOST:PORT
//       GET /v1/Configuration.Describe once; the body goes to standard output. Exit 0 on a 200.
//   standin-2 up SECONDS HOST:PORT...
//       Waits until all of these accept connections. Exit 0: they do.
//   standin-2 serve HOST:PORT CONTROL[,CONTROL...] SERVICE ID SLOTS QUEUE RECORD
//       A server: beats to a CONTROL, or the next after a failure, works on SLOTS requests at once and queues QUEUE more, for the time
//       that `Work-Ms` of the request says, and stops at `Deadline-Ms`. What it can't queue it never
//       answers, nor anything more on that connection, and it doesn't read on there. It goes on with
//       a request whose connection has closed.
//       A beat's answer may name another address for the later ones (`heartbeat_target`). SIGUSR1: it
//       beats no more, and serves on.
//       `Size-Bytes` of a request says how long its answer is. BREAK_EACH=N in the environment: it cuts
//       off each N-th answer to such a request half-way and ends the connection.
//   standin-2 pipelined EGRESS HOST LONG-PATH SHORT-PATH COUNT PREFIX RECORD
//       A client: on COUNT connections, one after the other, a first GET request, and once that is
//       answered two at once: one for 200000 bytes and, behind it, a short one.
//   standin-2 leave HOST:PORT ID RECORD PID...
//       The leaving of server ID, told to this control node. Once that is acknowledged, these
//       processes are killed at once. Exit 0: acknowledged.
//   standin-2 load EGRESS HOST PATH A-SECOND SECONDS PREFIX RECORD
//       A client: GET requests of 20 ms of work, one after the other, at this rate, on new connections.
//   standin-2 request EGRESS HOST PATH METHOD ID BODY-BYTES WORK-MS DEADLINE-MS LEAVE-MS RECORD
//       A client: one request on a new connection; leaves after LEAVE-MS (0: at its deadline).
//       Exit 0: a 200 with the server's seal and whole body; 1: anything else.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kStart = Clock::now();

double elapsed() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

void rest(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

struct Record {
  explicit Record(const std::string& path) : out(path, std::ios::app) {}
  void line(const std::string& text) {
    // The time of day: several stand-ins write the same file.
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                            now.time_since_epoch()).count() % 1000;
    char at[32];
    char of[48];
    std::strftime(at, sizeof at, "%H:%M:%S", std::localtime(&seconds));
    std::snprintf(of, sizeof of, "%s.%03d ", at, static_cast<int>(millis));
    out << of + text + "\n" << std::flush;
  }
  std::ofstream out;
};

int connectTo(const std::string& address, double seconds) {
  const auto colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr) != 1) return -1;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  pollfd wait{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (poll(&wait, 1, static_cast<int>(seconds * 1000)) != 1 ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

struct Answer {
  int status = 0;  // 0: none
  std::string body;
};

// One request on a connection of its own; the whole answer within `seconds`.
Answer call(const std::string& address, const std::string& request, double seconds) {
  Answer answer;
  const auto end = Clock::now() + std::chrono::duration<double>(seconds);
  const int fd = connectTo(address, seconds);
  if (fd < 0) return answer;
  std::size_t sent = 0;
  std::string got;
  for (;;) {
    const double left = std::chrono::duration<double>(end - Clock::now()).count();
    if (left <= 0) break;
    pollfd wait{fd, static_cast<short>(POLLIN | (sent < request.size() ? POLLOUT : 0)), 0};
    if (poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) break;
    if (sent < request.size() && (wait.revents & POLLOUT) != 0) {
      const auto count = send(fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
      if (count > 0) sent += static_cast<std::size_t>(count);
    }
    if ((wait.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      char chunk[16384];
      const auto count = recv(fd, chunk, sizeof chunk, 0);
      if (count == 0) break;
      if (count < 0 && errno != EAGAIN) break;
      if (count > 0) got.append(chunk, static_cast<std::size_t>(count));
    }
    const auto head = got.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    auto lower = got.substr(0, head);
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    const auto field = lower.find("\r\ncontent-length:");
    const std::size_t length =
        field == std::string::npos ? 0 : std::strtoul(lower.c_str() + field + 17, nullptr, 10);
    if (got.size() < head + 4 + length) continue;
    answer.status = std::atoi(got.c_str() + got.find(' ') + 1);
    answer.body = got.substr(head + 4, length);
    break;
  }
  close(fd);
  return answer;
}

std::string contentsOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string withoutLineEnd(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.pop_back();
  return text.substr(0, 120);
}

int order(const std::vector<std::string>& words) {
  rest(std::atof(words[0].c_str()));
  const double begin = elapsed();
  const double limit = std::atof(words[1].c_str());
  const auto body = contentsOf(words[2]);
  Record record(words[4]);
  const std::vector<std::string> nodes(words.begin() + 5, words.end());
  double pause = 0.1;
  for (std::size_t turn = 0; elapsed() - begin < limit; ++turn) {
    const auto& node = nodes[turn % nodes.size()];
    const std::string request = "POST /v1/Configuration.Replace HTTP/1.1\r\nHost: " + node +
                                "\r\nBase-Revision: " + words[3] +
                                "\r\nContent-Type: application/json\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto answer = call(node, request, 1.0);
    record.line("operator: order on top of " + words[3] + " to " + node + ": " +
                (answer.status == 0 ? std::string("no answer")
                                    : std::to_string(answer.status) + " " +
                                          withoutLineEnd(answer.body)));
    if (answer.status == 200) return 0;
    if (answer.status == 400 || answer.status == 409 || answer.status == 412 ||
        answer.status == 413 || answer.status == 422) {
      return 3;
    }
    rest(pause);
    pause = std::min(1.0, pause * 1.5);
  }
  return 1;
}

int readBack(const std::vector<std::string>& words) {
  Record record(words[0]);
  const auto answer = call(words[1],
                           "GET /v1/Configuration.Describe HTTP/1.1\r\nHost: " + words[1] +
                               "\r\n\r\n",
                           1.0);
  record.line("operator: read of the configuration at " + words[1] + ": " +
              std::to_string(answer.status));
  std::cout << answer.body;
  return answer.status == 200 ? 0 : 1;
}

int up(const std::vector<std::string>& words) {
  const double limit = std::atof(words[0].c_str());
  for (std::size_t next = 1; next < words.size();) {
    const int fd = connectTo(words[next], 0.5);
    if (fd >= 0) {
      close(fd);
      ++next;
      continue;
    }
    if (elapsed() > limit) return 1;
    rest(0.05);
  }
  return 0;
}

std::string lowered(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), ::tolower);
  return text;
}

// The value of a header in a head; empty where it isn't there.
std::string header(const std::string& head, const std::string& name) {
  const auto found = lowered(head).find("\r\n" + lowered(name) + ":");
  if (found == std::string::npos) return "";
  auto from = found + 2 + name.size() + 1;
  while (from < head.size() && head[from] == ' ') ++from;
  return head.substr(from, head.find("\r\n", from) - from);
}

std::atomic<bool> leaving{false};
constexpr double kBeatSeconds = 0.78;

class Server {
 public:
  explicit Server(const std::vector<std::string>& words)
      : address_(words[0]),
        service_(words[2]),
        id_(words[3]),
        slots_(std::atoi(words[4].c_str())),
        queue_(std::atoi(words[5].c_str())),
        record_(words[6]) {
    std::stringstream list(words[1]);
    for (std::string one; std::getline(list, one, ',');) controls_.push_back(one);
  }

  int run() {
    const auto colon = address_.rfind(':');
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address_.c_str() + colon + 1)));
    inet_pton(AF_INET, address_.substr(0, colon).c_str(), &at.sin_addr);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return 2;
    listen(listener, 256);
    std::thread([this] { beat(); }).detach();
    signal(SIGUSR1, [](int) { leaving = true; });
    for (;;) turn(listener);
  }

 private:
  struct Connection {
    int fd = -1;
    std::string input;
    bool abandoned = false;  // nothing more is read or answered here
    bool busy = false;       // a request of it is at work or queued
    std::string reading;     // the request whose body is being read
    std::string output;      // not sent yet
    bool ending = false;     // closed once the output has left
  };
  struct Run {
    std::list<Connection>::iterator connection;
    bool connected = true;
    std::string head;
    double workSeconds = 0;
    double deadline = 0;
    double end = 0;  // 0: queued
  };

  void beat() {
    for (int sequence = 1; !leaving; ++sequence) {
      const std::string body =
          R"({"address":")" + address_ + R"(","node_info":{"target_service":")" + service_ +
          R"(","revision":"v1","zone":"petrolina-one","capacity":)" + std::to_string(slots_) +
          R"(},"status_detail":{"status":"available","sequence":)" + std::to_string(sequence) +
          R"(,"warmup_left_s":0}})";
      const auto to = target_.empty() ? controls_[turn_ % controls_.size()] : target_;
      const auto answer =
          call(to,
               "POST /v1/Instances.Heartbeat/" + id_ + " HTTP/1.1\r\nHost: " + to +
                   "\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
               1.0);
      if (answer.status != 200) {
        // The next node is called.
        if (std::exchange(target_, std::string()).empty()) ++turn_;
        rest(0.1);
        continue;
      }
      const std::string field = "\"heartbeat_target\":\"";
      if (const auto found = answer.body.find(field); found != std::string::npos) {
        const auto from = found + field.size();
        target_ = answer.body.substr(from, answer.body.find('"', from) - from);
        record_.line("server: " + id_ + " is told to beat to " + target_);
        heardAt_ = target_;
        continue;
      }
      if (heardAt_ != to || sequence == 1) record_.line("server: " + id_ + " beats to " + to);
      heardAt_ = to;
      for (int part = 0; part < 15 && !leaving; ++part) rest(kBeatSeconds / 15);
    }
  }

  void turn(int listener) {
    std::vector<pollfd> waits{{listener, POLLIN, 0}};
    std::vector<std::list<Connection>::iterator> order;
    for (auto one = connections_.begin(); one != connections_.end(); ++one) {
      // Of an abandoned connection only the reset is noticed: nothing of it is read.
      const int events = (one->abandoned ? 0 : POLLIN) | (one->output.empty() ? 0 : POLLOUT);
      waits.push_back({one->fd, static_cast<short>(events), 0});
      order.push_back(one);
    }
    poll(waits.data(), waits.size(), 20);
    if (waits[0].revents != 0) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        connections_.push_back({fd, "", false, false, "", "", false});
      }
    }
    for (std::size_t next = 0; next < order.size(); ++next) {
      const auto events = waits[next + 1].revents;
      if (events == 0) continue;
      if (order[next]->abandoned && (events & (POLLERR | POLLHUP)) != 0) {
        drop(order[next]);
        continue;
      }
      if ((events & POLLOUT) != 0 && !flush(*order[next])) {
        drop(order[next]);
        continue;
      }
      if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) onReady(order[next]);
    }
    advanceRuns();
  }

  void drop(std::list<Connection>::iterator one) {
    close(one->fd);
    for (auto& run : runs_) {
      if (run.connected && run.connection == one) run.connected = false;
    }
    if (!one->busy && !one->reading.empty()) admitted_.erase(one->reading);
    connections_.erase(one);
  }

  void onReady(std::list<Connection>::iterator one) {
    char chunk[65536];
    const auto count = recv(one->fd, chunk, sizeof chunk, 0);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
      drop(one);
      return;
    }
    if (count < 0) return;
    one->input.append(chunk, static_cast<std::size_t>(count));
    readRequest(one);
  }

  void readRequest(std::list<Connection>::iterator one) {
    if (one->busy) return;
    const auto end = one->input.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string head = one->input.substr(0, end + 2);
    const auto id = header(head, "Attempt-Id");
    if (head.starts_with("GET /health ")) {
      one->input.erase(0, end + 4);
      respond(*one, "200 OK", "", "Instance-Id: " + id_ + "\r\n", "");
      return;
    }
    if (const auto expected = header(head, "Expected-Instance"); expected != "" && expected != id_) {
      record_.line("server: " + id + " is for " + expected + ", 421");
      one->abandoned = true;
      respond(*one, "421 Misdirected Request", id, "Connection: close\r\n", "");
      return;
    }
    if (admitted_.count(id) == 0) {
      if (static_cast<int>(admitted_.size()) >= slots_ + queue_) {
        record_.line("server: " + id + " can't be queued, is never answered");
        one->abandoned = true;
        return;
      }
      admitted_[id] = true;
      one->reading = id;
    }
    const std::size_t length = std::strtoul(header(head, "Content-Length").c_str(), nullptr, 10);
    if (one->input.size() < end + 4 + length) return;
    one->input.erase(0, end + 4 + length);
    one->busy = true;
    one->reading.clear();
    Run run;
    run.connection = one;
    run.head = head;
    run.workSeconds = std::atof(header(head, "Work-Ms").c_str()) / 1000;
    run.deadline = elapsed() + std::atof(header(head, "Deadline-Ms").c_str()) / 1000;
    runs_.push_back(run);
  }

  void advanceRuns() {
    for (auto run = runs_.begin(); run != runs_.end();) {
      const auto id = header(run->head, "Attempt-Id");
      const double now = elapsed();
      if (run->end > 0 && now >= run->end) {
        --working_;
        const bool inTime = run->end < run->deadline;
        if (run->workSeconds > 0.05) record_.line("server: " + id + (inTime ? " has run" : " ends at its deadline") +
                     (run->connected ? "" : ", its connection had closed"));
        finish(run, inTime ? "200 OK" : "504 Gateway Timeout", inTime);
        run = runs_.erase(run);
      } else if (run->end == 0 && now >= run->deadline) {
        record_.line("server: " + id + " was queued until its deadline");
        if (run->connected) {
          run->connection->busy = false;
          respond(*run->connection, "503 Service Unavailable", id, "Not-Executed: 1\r\n", "");
        }
        admitted_.erase(id);
        run = runs_.erase(run);
      } else {
        ++run;
      }
    }
    for (auto& run : runs_) {
      if (run.end > 0 || working_ >= slots_) continue;
      ++working_;
      run.end = std::min(elapsed() + run.workSeconds, run.deadline);
      record_.line("server: " + id_ + " runs " + header(run.head, "Attempt-Id"));
    }
  }

  void finish(std::list<Run>::iterator run, const std::string& status, bool sealed) {
    const auto id = header(run->head, "Attempt-Id");
    admitted_.erase(id);
    if (!run->connected) return;
    auto& to = *run->connection;
    to.busy = false;
    std::string body = sealed ? "done " + id + "\n" : "";
    const std::size_t size = std::strtoul(header(run->head, "Size-Bytes").c_str(), nullptr, 10);
    if (sealed && size > body.size()) body.resize(size, 'a');
    const bool breaksOff = sealed && size > 0 && breakEach_ > 0 && ++answers_ % breakEach_ == 0;
    if (!breaksOff) {
      respond(to, status, id, sealed ? "Response-Seal: seal-" + id + "\r\n" : "", body);
      return;
    }
    // In trouble: the answer is cut off half-way, and the connection ends.
    record_.line("server: " + id_ + " cuts its answer to " + id + " off");
    to.output += "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-" + id +
                 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                 body.substr(0, body.size() / 2);
    to.ending = true;
    if (to.output.empty() || !flush(to)) shutdown(to.fd, SHUT_RDWR);
  }

  void respond(Connection& to, const std::string& status, const std::string& id,
               const std::string& more, const std::string& body) {
    std::string text = "HTTP/1.1 " + status + "\r\n";
    if (!id.empty()) text += "Attempt-Id: " + id + "\r\n";
    text += more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    to.output += text;
    flush(to);
  }

  // False where the connection is to be dropped.
  bool flush(Connection& to) {
    while (!to.output.empty()) {
      const auto count = send(to.fd, to.output.data(), to.output.size(), MSG_NOSIGNAL);
      if (count <= 0) return errno == EAGAIN;
      to.output.erase(0, static_cast<std::size_t>(count));
    }
    return !to.ending;
  }

  std::string address_;
  std::vector<std::string> controls_;  // for beats, called in turn
  std::size_t turn_ = 0;
  std::string target_;   // for beats, where an answer has named one
  std::string heardAt_;  // where the last beat was acknowledged
  std::string service_;
  std::string id_;
  int slots_;
  int queue_;
  Record record_;
  std::list<Connection> connections_;
  std::list<Run> runs_;
  std::map<std::string, bool> admitted_;  // read in, queued or at work, by Attempt-Id
  int working_ = 0;
  int breakEach_ = std::getenv("BREAK_EACH") ? std::atoi(std::getenv("BREAK_EACH")) : 0;
  int answers_ = 0;
};

// Reads one answer off the front of `got`; receives more until `end`.
Answer nextAnswer(int fd, std::string& got, Clock::time_point end) {
  Answer answer;
  for (;;) {
    const auto head = got.find("\r\n\r\n");
    if (head != std::string::npos) {
      const auto length = std::strtoul(
          header(got.substr(0, head + 2), "Content-Length").c_str(), nullptr, 10);
      if (got.size() >= head + 4 + length) {
        answer.status = std::atoi(got.c_str() + got.find(' ') + 1);
        answer.body = got.substr(head + 4, length);
        got.erase(0, head + 4 + length);
        return answer;
      }
    }
    const double left = std::chrono::duration<double>(end - Clock::now()).count();
    pollfd wait{fd, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) return answer;
    char chunk[65536];
    const auto count = recv(fd, chunk, sizeof chunk, 0);
    if (count == 0 || (count < 0 && errno != EAGAIN)) return answer;
    if (count > 0) got.append(chunk, static_cast<std::size_t>(count));
  }
}

// A connection that has had an answer, and then two requests at once: a long answer, and a short one.
int pipelined(const std::vector<std::string>& words) {
  Record record(words[6]);
  const int count = std::atoi(words[4].c_str());
  const auto get = [&](const std::string& path, const std::string& id, int size) {
    return "GET " + path + id + " HTTP/1.1\r\nHost: " + words[1] + "\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 2000\r\nWork-Ms: 10\r\n" +
           (size > 0 ? "Size-Bytes: " + std::to_string(size) + "\r\n" : "") + "\r\n";
  };
  const auto sendAll = [](int fd, const std::string& text) {
    return send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  };
  for (int turn = 1; turn <= count; ++turn) {
    const std::string name = words[5] + "-" + std::to_string(turn);
    const int fd = connectTo(words[0], 1.0);
    if (fd < 0) continue;
    const auto end = Clock::now() + std::chrono::seconds(3);
    std::string got;
    sendAll(fd, get(words[3], name + "-first", 0));
    const auto first = nextAnswer(fd, got, end);
    if (first.status == 200) {
      sendAll(fd, get(words[2], name + "-long", 200000) + get(words[3], name + "-short", 0));
      const auto longOne = nextAnswer(fd, got, end);
      const auto shortOne = longOne.status == 0 ? Answer{} : nextAnswer(fd, got, end);
      if (longOne.status != 200 || shortOne.status != 200) {
        record.line("client: " + name + ": long " + std::to_string(longOne.status) + ", short " +
                    (shortOne.status == 0 ? "no answer, the connection has ended"
                                          : std::to_string(shortOne.status)));
      } else {
        record.line("client: " + name + ": long 200, " + std::to_string(longOne.body.size()) +
                    " bytes, short 200");
      }
    } else {
      record.line("client: " + name + ": first " + std::to_string(first.status));
    }
    close(fd);
  }
  return 0;
}

int leave(const std::vector<std::string>& words) {
  Record record(words[2]);
  const auto answer = call(words[0],
                           "POST /v1/Instances.Deregister/" + words[1] + " HTTP/1.1\r\nHost: " +
                               words[0] + "\r\nContent-Length: 0\r\n\r\n",
                           1.0);
  const double answeredAt = elapsed();
  if (answer.status == 200) {
    for (std::size_t next = 3; next < words.size(); ++next) {
      kill(std::atoi(words[next].c_str()), SIGKILL);
    }
  }
  record.line("server: " + words[1] + " tells " + words[0] + " that it leaves: " +
              std::to_string(answer.status) + (words.size() > 3 ? ", the core is killed " +
                                      std::to_string(static_cast<int>(
                                          (elapsed() - answeredAt) * 1e6)) + " us later"
                                : ""));
  return answer.status == 200 ? 0 : 1;
}

int load(const std::vector<std::string>& words) {
  Record record(words[6]);
  const double interval = 1 / std::atof(words[3].c_str());
  const double seconds = std::atof(words[4].c_str());
  int sent = 0;
  int served = 0;
  for (double next = 0; next < seconds; next += interval) {
    while (elapsed() < next) rest(0.002);
    const std::string id = words[5] + "-" + std::to_string(++sent);
    const auto answer = call(words[0],
                             "GET " + words[2] + id + " HTTP/1.1\r\nHost: " + words[1] +
                                 "\r\nAttempt-Id: " + id +
                                 "\r\nDeadline-Ms: 1500\r\nWork-Ms: 20\r\n\r\n",
                             2.0);
    if (answer.status == 200) ++served;
    record.line("client: sent " + id + " to " + words[0] + ": " + std::to_string(answer.status) +
                " " + withoutLineEnd(answer.body));
  }
  record.line("client: " + words[5] + ": " + std::to_string(served) + " of " +
              std::to_string(sent) + " served");
  return 0;
}

int request(const std::vector<std::string>& words) {
  const std::string& id = words[4];
  const std::size_t size = std::strtoul(words[5].c_str(), nullptr, 10);
  const double deadline = std::atof(words[7].c_str()) / 1000;
  const double leave = std::atof(words[8].c_str()) / 1000;
  Record record(words[9]);
  std::string text = words[3] + " " + words[2] + " HTTP/1.1\r\nHost: " + words[1] +
                     "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + words[7] +
                     "\r\nWork-Ms: " + words[6] + "\r\n";
  if (size > 0) text += "Content-Length: " + std::to_string(size) + "\r\n";
  text += "\r\n" + std::string(size, 'x');
  const double began = elapsed();
  const auto answer = call(words[0], text, leave > 0 ? leave : deadline + 0.5);
  char took[64];
  std::snprintf(took, sizeof took, " after %.3f s", elapsed() - began);
  const bool served = answer.status == 200 && answer.body == "done " + id + "\n";
  record.line("client: " + id + " " + words[3] + " " + std::to_string(size) + " bytes: " +
              (answer.status == 0 ? std::string(leave > 0 ? "left" : "no answer")
                                  : std::to_string(answer.status) + " " + withoutLineEnd(answer.body)) +
              took);
  return served ? 0 : 1;
}

}  // namespace

int main(int count, char** arguments) {
  const std::vector<std::string> words(arguments + std::min(count, 2), arguments + count);
  const std::string verb = count > 1 ? arguments[1] : "";
  if (verb == "order" && words.size() >= 6) return order(words);
  if (verb == "read" && words.size() == 2) return readBack(words);
  if (verb == "up" && words.size() >= 2) return up(words);
  if (verb == "serve" && words.size() == 7) return Server(words).run();
  if (verb == "pipelined" && words.size() == 7) return pipelined(words);
  if (verb == "leave" && words.size() >= 3) return leave(words);
  if (verb == "load" && words.size() == 7) return load(words);
  if (verb == "request" && words.size() == 10) return request(words);
  std::cerr << "standin-2: order | read | up | serve | leave | load | pipelined | request, see the source\n";
  return 2;
}
