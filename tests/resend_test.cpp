// Which requests are retried after a reset, a close or a time-out, and which are not: every kind of request, on a new
// and on a reused connection, with each failure at each byte position of request and response. Runners and clients are
// stand-ins on loopback. Expectations follow the protocol page, not the code: `expected` below is the table in words.
#include <sys/socket.h>

#include <cstdlib>

#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::standin;
namespace {

enum class CallKind { safe, unsafe, stream, resumable };
enum class FailureMode { reset, close, silence, garbage, notExecuted, otherId, extraBytes };
// Where the failure occurs. The first five count the bytes of the request that the runner has read by then; the others
// those of its answer that it has sent.
enum class Position {
  beforeConnect,
  nothingRead,
  partOfHeader,
  completeHeader,
  partOfBody,
  completeRequest,  // and no byte of the answer
  inStatusLine,
  inResponseHeader,
  afterResponseHeader,
  inResponseBody,
  allButLastByte,
};
constexpr CallKind kKinds[] = {CallKind::safe, CallKind::unsafe, CallKind::stream, CallKind::resumable};
constexpr FailureMode kFailureModes[] = {FailureMode::reset,     FailureMode::close,       FailureMode::silence,
                                         FailureMode::garbage,   FailureMode::notExecuted, FailureMode::otherId,
                                         FailureMode::extraBytes};
constexpr Position kPositions[] = {Position::beforeConnect,  Position::nothingRead,      Position::partOfHeader,
                                   Position::completeHeader, Position::partOfBody,       Position::completeRequest,
                                   Position::inStatusLine,   Position::inResponseHeader, Position::afterResponseHeader,
                                   Position::inResponseBody, Position::allButLastByte};
const char* name(CallKind k) {
  constexpr const char* n[] = {"safe", "unsafe", "stream", "resumable stream"};
  return n[static_cast<int>(k)];
}
const char* name(FailureMode t) {
  constexpr const char* n[] = {"reset", "close", "silence", "garbage", "X-Not-Executed", "another id", "extra bytes"};
  return n[static_cast<int>(t)];
}
const char* name(Position p) {
  constexpr const char* n[] = {"before connect", "nothing read",     "part of header",   "complete header",
                               "part of body",   "complete request", "in status line",   "in answer's head",
                               "after its head", "in body / event",  "all but last byte"};
  return n[static_cast<int>(p)];
}
const char* path(CallKind k) {
  constexpr const char* n[] = {"/safe/x", "/once/x", "/stream/x", "/resume/x"};
  return n[static_cast<int>(k)];
}
bool streams(CallKind k) {
  return k == CallKind::stream || k == CallKind::resumable;
}
bool idempotent(CallKind k) {
  return k == CallKind::safe || k == CallKind::resumable;
}

constexpr int kEvents = 4;
const std::string kBody = "0123456789";
// The correct response to a request, from its first event on or after the one that it names.
std::string correctResponse(CallKind k, const std::string& id, int after = 0) {
  if (!streams(k))
    return completeResponse(id, "body of " + id);
  std::string s = streamHead(id);
  for (int i = after + 1; i <= kEvents; ++i)
    s += chunk(event(i));
  return s + "0\r\n\r\n";
}
std::string correctBody(CallKind k, const std::string& id) {
  if (!streams(k))
    return "body of " + id;
  std::string s;
  for (int i = 1; i <= kEvents; ++i)
    s += event(i);
  return s;
}
std::string responsePrefix(CallKind k, Position p, const std::string& id) {
  const auto all = correctResponse(k, id);
  const auto head = all.find("\r\n\r\n") + 4;
  switch (p) {
    case Position::inStatusLine:
      return all.substr(0, 7);
    case Position::inResponseHeader:
      return all.substr(0, head - 9);
    case Position::afterResponseHeader:
      return all.substr(0, head);
    case Position::inResponseBody:  // a stream: in the middle of its second event, inside a chunk
      return streams(k) ? all.substr(0, head + chunk(event(1)).size() + 9) : all.substr(0, head + 4);
    case Position::allButLastByte:
      return all.substr(0, all.size() - 1);
    default:
      return {};
  }
}

// A runner that reads a given part of a request and then plays a failure. One script for all runners of a rig: the
// first connection that carries a request plays it; all later requests are answered correctly.
struct Rig {
  struct Seen {
    std::string runner, bytes;
    bool notExecuted = false;
  };
  TestProxy h;
  CallKind kind = CallKind::safe;
  FailureMode failureMode = FailureMode::reset;
  Position position = Position::completeRequest;
  bool played = false;
  int fibers = 0;
  std::vector<std::shared_ptr<Seen>> seen;  // one a request that began, in order
  struct RunnerListener {
    std::string id;
    std::shared_ptr<tcp::acceptor> acceptor;
  };
  std::vector<std::shared_ptr<RunnerListener>> listeners;
  std::vector<std::unique_ptr<Connection>> fillers;

  explicit Rig(int runners = 3) {
    for (int i = 0; i < runners; ++i) {
      auto d = std::make_shared<RunnerListener>();
      d->id = "i-" + std::to_string(i);
      d->acceptor =
          std::make_shared<tcp::acceptor>(EventLoop::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      listeners.push_back(d);
      accept(d);
    }
    follow();
    h.saveUp(8, 12);
  }
  void follow(const std::string& firstAddress = {}) {
    std::vector<Runner> rs;
    for (auto& d : listeners) {
      auto address = "127.0.0.1:" + std::to_string(d->acceptor->local_endpoint().port());
      if (!firstAddress.empty() && d == listeners.front())
        address = firstAddress;
      rs.push_back(Runner{d->id, "s", address, "z", 4, 1, 0});
    }
    h.context.runners.setRunners(rs);
  }
  void accept(const std::shared_ptr<RunnerListener>& d) {
    d->acceptor->async_accept([this, d](SocketError ec, tcp::socket s) {
      if (ec)
        return;
      auto accepted = std::make_shared<tcp::socket>(std::move(s));
      ++fibers;
      EventLoop::get().spawn([this, d, accepted] {
        {
          Connection w(std::move(*accepted));
          tune(w.socket());
          while (serve(*d, w)) {
          }
        }
        --fibers;
      });
      accept(d);
    });
  }
  static bool readMore(Connection& w, std::string& got, std::size_t most) {
    char b[4096];
    SocketError ec;
    const auto n = w.read(asio::buffer(b, std::min(sizeof b, most)), ec);
    got.append(b, n);
    return !ec && n > 0;
  }
  static void resetIt(Connection& w) {
    const linger now{1, 0};
    ::setsockopt(w.socket().native_handle(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    w.close();
  }
  static std::string headOf(const std::string& request, const std::string& n) {
    const auto at = request.find("\r\n" + n + ": ");
    if (at == std::string::npos)
      return {};
    const auto from = at + n.size() + 4;
    return request.substr(from, request.find("\r\n", from) - from);
  }
  // One request on a connection. False: the connection is over.
  bool serve(RunnerListener& d, Connection& w) {
    SocketError ec;
    w.awaitReadable(ec);
    char c = 0;
    if (ec || ::recv(w.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
      return false;
    auto s = std::make_shared<Seen>();
    s->runner = d.id;
    seen.push_back(s);
    const bool mine = !std::exchange(played, true);
    const auto readUpTo = mine ? position : Position::completeRequest;
    auto& got = s->bytes;
    const auto wanted = [&]() -> std::size_t {
      const auto head = got.find("\r\n\r\n");
      switch (readUpTo) {
        case Position::nothingRead:
          return 0;
        case Position::partOfHeader:
          return 25;
        case Position::completeHeader:
          return head == std::string::npos ? got.size() + 1 : head + 4;
        case Position::partOfBody:
          return head == std::string::npos ? got.size() + 1 : head + 4 + kBody.size() / 2;
        default: {
          const auto length = headOf(got, "Content-Length");
          return head == std::string::npos ? got.size() + 1 : head + 4 + (length.empty() ? 0 : std::stoul(length));
        }
      }
    };
    while (got.size() < wanted())
      if (!readMore(w, got, readUpTo == Position::completeRequest ? 4096 : 1))
        return false;
    const auto id = headOf(got, "X-Attempt-Id");
    const auto after = headOf(got, "Last-Event-Id");
    if (!mine) {
      say(w, correctResponse(kind, id, after.empty() ? 0 : std::stoi(after)));
      return true;
    }
    return play(w, *s, id.empty() ? "a1" : id);
  }
  bool play(Connection& w, Seen& s, const std::string& id) {
    if (const auto prefix = responsePrefix(kind, position, id); !prefix.empty()) {
      say(w, prefix);
      // It arrives by itself: a reset would take back what the proxy has not read yet.
      EventLoop::get().sleepFor(2ms);
    }
    switch (failureMode) {
      case FailureMode::reset:
        resetIt(w);
        return false;
      case FailureMode::close:
        w.close();
        return false;
      case FailureMode::silence: {
        std::string rest;
        while (readMore(w, rest, 4096)) {
        }
        return false;
      }
      case FailureMode::garbage:
        say(w, "\x16\x03\x01 nothing of this is an answer\r\n\r\n");
        w.close();
        return false;
      case FailureMode::notExecuted:
        s.notExecuted = true;
        say(w, completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n"));
        if (position == Position::completeRequest)
          return true;
        // The rest is read, so that the close does not take the answer back.
        w.socket().shutdown(tcp::socket::shutdown_send, ignored_);
        for (std::string rest; readMore(w, rest, 4096);) {
        }
        return false;
      case FailureMode::otherId:
        say(w, correctResponse(kind, "of-another") + correctResponse(kind, id));
        return true;
      case FailureMode::extraBytes:
        say(w, correctResponse(kind, id) + correctResponse(kind, "of-another"));
        return true;
    }
    return false;
  }
  // Closes everything and waits until nothing refers to this rig.
  void end() {
    SocketError ec;
    h.listener->close(ec);
    for (auto& d : listeners)
      d->acceptor->close(ec);
    fillers.clear();
    h.context.connections = ConnectionPool();
    for (int i = 0; i < 4000 && (fibers > 0 || h.context.clients > 0); ++i)
      EventLoop::get().sleepFor(1ms);
    EXPECT_EQ(fibers, 0);
    EXPECT_EQ(h.context.clients, 0);
    EventLoop::get().sleepFor(1ms);  // handlers of closed acceptors
  }
  int begun() const { return static_cast<int>(seen.size()); }

 private:
  SocketError ignored_;
};

struct Row {
  CallKind kind;
  bool reused;
  FailureMode failureMode;
  Position position;
};
std::string text(const Row& r) {
  return std::string(name(r.kind)) + ", " + (r.reused ? "reused" : "new") + ", " + name(r.failureMode) + ", " +
         name(r.position);
}
// Rows that make sense: X-Not-Executed, another id and surplus bytes are answers, so they come at a position of the
// request. Garbage that fills up an announced length can't be distinguished from the response that was due.
bool exists(const Row& r) {
  if (r.position == Position::beforeConnect)
    return !r.reused && (r.failureMode == FailureMode::reset || r.failureMode == FailureMode::silence);
  if (r.failureMode == FailureMode::notExecuted)
    return r.position >= Position::partOfHeader && r.position <= Position::completeRequest;
  if (r.failureMode == FailureMode::otherId || r.failureMode == FailureMode::extraBytes)
    return r.position == Position::completeRequest;
  if (r.failureMode == FailureMode::garbage)
    return streams(r.kind) ? r.position != Position::inResponseBody : r.position <= Position::inResponseHeader;
  return true;
}
struct PlayResult {
  int begun = 0;          // connections on which the runners saw a byte of this request
  int ran = 0;            // of those, the ones whose runner did not say X-Not-Executed
  int status = 0;         // what the client got; 0: a closed connection
  bool complete = false;  // the client got the complete response
  std::string body;
};
// The table in words.
PlayResult expected(const Row& r) {
  PlayResult right{1, 1, 200, true, correctBody(r.kind, "a1")};
  auto again = right;
  again.begun = 2, again.ran = 2;
  if (r.position == Position::beforeConnect)
    return right;  // nothing was sent: the next runner has it
  if (r.failureMode == FailureMode::notExecuted) {
    again.ran = 1;  // the first runner says so
    return again;
  }
  if (r.failureMode == FailureMode::otherId || r.failureMode == FailureMode::extraBytes)
    return right;  // those bytes belong to no request
  const bool begun = r.kind == CallKind::stream && r.position >= Position::afterResponseHeader;
  PlayResult cut{1, 1, 200, false, {}};  // a stream that had begun, and that no other runner may take up
  if (r.position == Position::inResponseBody)
    cut.body = event(1) + "id: 2";
  if (r.position == Position::allButLastByte)
    cut.body = correctBody(r.kind, "a1");
  if (r.failureMode == FailureMode::silence) {
    // A runner's silence is no reason to end sooner, nor to run it elsewhere: the deadline ends it.
    if (r.kind == CallKind::resumable && r.position >= Position::afterResponseHeader) {
      cut.body = r.position == Position::inResponseBody   ? event(1)
                 : r.position == Position::allButLastByte ? correctBody(r.kind, "a1")
                                                          : "";
      return cut;
    }
    return begun ? cut : PlayResult{1, 1, 504, true, {}};
  }
  if (begun)
    return cut;
  if (idempotent(r.kind))
    return again;
  return {1, 1, 502, true, {}};
}

PlayResult play(const Row& row) {
  auto rig = std::make_unique<Rig>();
  auto& h = rig->h;
  rig->kind = row.kind;
  rig->failureMode = row.failureMode;
  rig->position = row.position;
  SocketError ec;
  if (row.reused) {
    for (auto& d : rig->listeners) {
      auto c = std::make_unique<Connection>();
      c->connect(d->acceptor->local_endpoint(), ec);
      EXPECT_FALSE(ec);
      h.context.connections.release(d->id, std::move(c), Clock::now() + 20s, Clock::now());
    }
  }
  std::optional<tcp::acceptor> deaf;
  if (row.position == Position::beforeConnect) {
    rig->played = true;
    if (row.failureMode == FailureMode::reset) {
      rig->follow("127.0.0.1:1");  // refused
    } else {
      // A queue of connections that is full: the handshake gets no answer.
      deaf.emplace(EventLoop::get().io());
      deaf->open(tcp::v4());
      deaf->bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      deaf->listen(0);
      for (int i = 0; i < 2; ++i) {
        rig->fillers.push_back(std::make_unique<Connection>());
        auto& f = *rig->fillers.back();
        f.setDeadline(Clock::now() + 20ms);
        f.connect(deaf->local_endpoint(), ec);
        f.clearDeadline();
      }
      rig->follow("127.0.0.1:" + std::to_string(deaf->local_endpoint().port()));
    }
    // The request must meet the failure: the other runners are busy.
    for (int i = 1; i < 3; ++i)
      for (int k = 0; k < 3; ++k)
        h.context.runners.attemptStarted(i, 0);
  }
  auto client = h.dial();
  Buffer buf;
  const bool waits = row.failureMode == FailureMode::silence && row.position != Position::beforeConnect;
  // Long enough for a busy machine: what the runner sends before its silence must arrive within it.
  say(*client, ask(path(row.kind), "a1", waits ? "X-Deadline-Ms: 400\r\n" : "", kBody));
  const auto a = hear(*client, buf);
  PlayResult out;
  out.begun = rig->begun();
  for (auto& s : rig->seen)
    out.ran += !s->notExecuted;
  out.status = a.status;
  out.complete = a.bodyComplete;
  if (a.status == 200)
    out.body = a.body;
  if (row.position != Position::beforeConnect) {
    EXPECT_TRUE(rig->played) << text(row);
  }

  // Nothing of it reaches the next client, on this connection or a new one, though runners' connections are reused.
  for (int i = 0; i < 6; ++i) {
    const auto id = "next-" + std::to_string(i);
    if (i % 2 || !a.bodyComplete) {
      const auto b = once(h, ask(path(row.kind), id, "", kBody));
      EXPECT_EQ(b.body, correctBody(row.kind, id)) << text(row);
      EXPECT_TRUE(b.bodyComplete) << text(row);
    } else {
      say(*client, ask(path(row.kind), id, "", kBody));
      const auto b = hear(*client, buf);
      EXPECT_EQ(b.body, correctBody(row.kind, id)) << text(row);
      EXPECT_EQ(b.heads.contains("X-Attempt-Id") ? b.heads.at("X-Attempt-Id") : "", id) << text(row);
    }
  }
  client->close();
  client.reset();
  rig->end();
  return out;
}
}  // namespace

TEST(Retry, EachKindConnectionFailureAndBytePosition) {
  std::vector<Row> rows;
  for (auto kind : kKinds)
    for (bool reused : {false, true})
      for (auto failureMode : kFailureModes)
        for (auto position : kPositions)
          if (const Row r{kind, reused, failureMode, position}; exists(r))
            rows.push_back(r);
  ASSERT_EQ(rows.size(), 360U);
  std::vector<PlayResult> results(rows.size());
  // Side by side, so that those that wait for a deadline wait together.
  std::size_t next = 0;
  std::size_t ended = 0;
  for (int worker = 0; worker < 24; ++worker)
    EventLoop::get().spawn([&] {
      while (next < rows.size()) {
        const auto i = next++;
        results[i] = play(rows[i]);
        if (++ended == rows.size())
          EventLoop::get().stop();
      }
    });
  EventLoop::get().run();
  ASSERT_EQ(ended, rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto want = expected(rows[i]);
    const auto& got = results[i];
    EXPECT_EQ(got.begun, want.begun) << text(rows[i]);
    EXPECT_EQ(got.ran, want.ran) << text(rows[i]);
    EXPECT_EQ(got.status, want.status) << text(rows[i]);
    EXPECT_EQ(got.complete, want.complete) << text(rows[i]);
    if (want.status == 200) {
      EXPECT_EQ(got.body, want.body) << text(rows[i]);
    }
    if (!idempotent(rows[i].kind)) {
      EXPECT_LE(got.ran, 1) << text(rows[i]);
    }
  }
  if (std::getenv("ZINCCLEAT_PRINT_TABLE")) {
    std::puts(
        "| kind | connection | failureMode | position | begun | may have run | client gets "
        "|\n|---|---|---|---|---|---|---|");
    for (std::size_t i = 0; i < rows.size(); ++i)
      std::printf("| %s | %s | %s | %s | %d | %d | %d%s |\n", name(rows[i].kind), rows[i].reused ? "reused" : "new",
                  name(rows[i].failureMode), name(rows[i].position), results[i].begun, results[i].ran,
                  results[i].status, results[i].complete ? "" : ", cut");
  }
}

// The client, the deadline, the lease, the configuration or the process ends in the middle.

TEST(Retry, AClientThatDisconnectsEndsItEverywhere) {
  for (const char* where : {"/safe/x", "/once/x", "/stream/x", "/resume/x"})
    for (bool begun : {false, true})
      withProxy([&](TestProxy& h) {
        int requests = 0;
        int closed = 0;
        Waiter arrived;
        Waiter over;
        const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
          ++requests;
          if (begun)
            say(w, streamHead(id) + chunk(event(1)));
          arrived.wake();
          char c = 0;
          SocketError ec;
          w.read(asio::buffer(&c, 1), ec);
          closed += static_cast<bool>(ec);
          w.close();
          over.wake();
        };
        h.runner("i-1", act);
        h.runner("i-2", act);
        auto client = h.dial();
        say(*client, ask(where));
        EXPECT_TRUE(EventLoop::get().waitFor(arrived, 3000ms));
        EventLoop::get().sleepFor(2ms);
        client->close();
        EXPECT_TRUE(EventLoop::get().waitFor(over, 3000ms)) << where;
        EventLoop::get().sleepFor(5ms);
        EXPECT_EQ(closed, 1) << where;
        EXPECT_EQ(requests, 1) << where << ": nobody waits for a second one";
        EXPECT_EQ(h.context.inFlight, 0);
      });
}
TEST(Retry, NothingIsRetriedPastTheDeadline) {
  for (const char* where : {"/safe/x", "/resume/x", "/once/x"})
    withProxy([&](TestProxy& h) {
      int requests = 0;
      const auto act = [&](StandIn&, Connection& w, const std::string&, const std::string&) {
        ++requests;
        EventLoop::get().sleepFor(60ms);
        w.close();
      };
      h.runner("i-1", act);
      h.runner("i-2", act);
      EXPECT_EQ(once(h, ask(where, "a1", "X-Deadline-Ms: 40\r\n")).status, 504) << where;
      EXPECT_EQ(requests, 1) << where;
    });
}
TEST(Retry, ALeaseThatExpiresStopsRetries) {
  for (const char* where : {"/safe/x", "/once/x"})
    for (bool sent : {false, true})
      withProxy([&](TestProxy& h) {
        int requests = 0;
        const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
          ++requests;
          h.context.leaseExpiresAt = Clock::now() - 1ms;
          if (sent)
            return w.close();
          say(w, completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n"));
        };
        h.runner("i-1", act);
        h.runner("i-2", act);
        EXPECT_EQ(once(h, ask(where)).status, sent ? 502 : 503) << where;
        EXPECT_EQ(requests, 1) << where;
      });
}
TEST(Retry, ARequestKeepsItsConfiguration) {
  withProxy([](TestProxy& h) {
    const auto before = h.context.configuration;
    int requests = 0;
    const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
      if (++requests == 1) {
        // All routes go, and the service with them.
        h.context.configuration =
            *parseConfiguration(R"({"configVersion":8,"routeTable":[],"serviceTable":[{"label":"other"}]})");
        w.close();
      } else {
        say(w, completeResponse(id, "second"));
      }
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    EXPECT_EQ(once(h, ask("/safe/x")).body, "second");
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(once(h, ask("/safe/x")).status, 404);
    h.context.configuration = before;
    requests = 0;
    EXPECT_EQ(once(h, ask("/once/x")).status, 502);
    EXPECT_EQ(requests, 1);
  });
}
// SIGTERM while a request is in flight: it is served to its end, retries included, and its connection is closed
// gracefully, so that no client sends its next request on a connection that is about to end.
TEST(Retry, AGracefulShutdownCompletesRequestsInFlight) {
  for (const char* where : {"/safe/x", "/resume/x", "/once/x"})
    withProxy([&](TestProxy& h) {
      const bool stream = std::string_view(where) == "/resume/x";
      int requests = 0;
      const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
        h.context.shutdown.begin(Clock::now(), 8s);
        if (++requests == 1 && std::string_view(where) != "/once/x")
          return w.close();
        say(w, correctResponse(stream ? CallKind::resumable : CallKind::safe, id));
      };
      h.runner("i-1", act);
      h.runner("i-2", act);
      const auto a = once(h, ask(where));
      EXPECT_EQ(a.status, 200) << where;
      EXPECT_TRUE(a.bodyComplete) << where;
      ASSERT_TRUE(a.heads.count("Connection")) << where;
      EXPECT_EQ(a.heads.at("Connection"), "close") << where;
    });
}

// Answers that contradict themselves, and answers of unusual form.

TEST(Retry, ASuccessThatSaysNotExecutedIsNeitherForwardedNorRetried) {
  for (const char* where : {"/stream/x", "/once/x", "/resume/x", "/safe/x"})
    withProxy([&](TestProxy& h) {
      int requests = 0;
      const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
        ++requests;
        say(w, completeResponse(id, event(1), 200, "X-Not-Executed: 1\r\n"));
      };
      h.runner("i-1", act);
      h.runner("i-2", act);
      auto client = h.dial();
      Buffer buf;
      say(*client, ask(where));
      EXPECT_EQ(hear(*client, buf).status, 502) << where;
      const bool again = std::string_view(where) == "/safe/x" || std::string_view(where) == "/resume/x";
      EXPECT_EQ(requests, again ? 2 : 1) << where;
    });
}
TEST(Retry, ResponsesWithoutABodyEndWithTheirHeader) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", [](StandIn&, Connection& w, const std::string& id, const std::string& text) {
      if (text.rfind("HEAD", 0) == 0)
        say(w, streamHead(id));
      else if (id == "none")
        say(w, "HTTP/1.1 204 No Content\r\nX-Attempt-Id: none\r\nX-Server-Seal: s\r\n\r\n");
      else
        say(w, correctResponse(CallKind::stream, id));
    });
    auto client = h.dial();
    Buffer buf;
    say(*client,
        "HEAD /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: head\r\nAuthorization: Bearer key1\r\n\r\n" +
            ask("/stream/x", "none") + ask("/stream/x", "after"));
    http::response_parser<http::string_body> head;
    head.skip(true);
    SocketError ec;
    client->setDeadline(Clock::now() + 5s);
    readIntoParser(*client, buf, head, true, ec);
    EXPECT_FALSE(ec);
    EXPECT_EQ(head.get()["X-Attempt-Id"], "head");
    auto a = hear(*client, buf);
    EXPECT_EQ(a.status, 204);
    a = hear(*client, buf);
    EXPECT_EQ(a.heads["X-Attempt-Id"], "after");
    EXPECT_EQ(a.body, correctBody(CallKind::stream, "after"));
  });
}
TEST(Retry, AnInterimResponseIsNotTheResponse) {
  withProxy([](TestProxy& h) {
    int requests = 0;
    h.runner("i-1", [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
      ++requests;
      std::string s;
      for (int i = 0; i < 4; ++i)
        s += "HTTP/1.1 102 Processing\r\nX-Attempt-Id: " + id + "\r\n\r\n";
      say(w, s + completeResponse(id, "final"));
    });
    EXPECT_EQ(once(h, ask("/once/x")).body, "final");
    EXPECT_EQ(requests, 1);
  });
}
// The runner says that it did not run the request, and then closes the connection.
TEST(Retry, NotExecutedIsValidFromTheHeaderOn) {
  withProxy([](TestProxy& h) {
    int requests = 0;
    const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
      if (++requests > 1)
        return say(w, completeResponse(id, "ran"));
      const auto full = completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n");
      say(w, full.substr(0, full.size() - 2));
      w.close();
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    EXPECT_EQ(once(h, ask("/once/x")).body, "ran");
    EXPECT_EQ(requests, 2);
  });
}
// An event without an id can't be named to another runner: resuming after the last id would repeat it.
TEST(Retry, AStreamIsNotResumedAfterAnEventWithoutAnId) {
  for (bool firstHasId : {true, false})
    withProxy([&](TestProxy& h) {
      int requests = 0;
      const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
        ++requests;
        say(w, streamHead(id) + chunk((firstHasId ? event(1) : "") + "data: nameless\n\n"));
        w.close();
      };
      h.runner("i-1", act);
      h.runner("i-2", act);
      const auto a = once(h, ask("/resume/x"));
      EXPECT_EQ(requests, 1);
      EXPECT_FALSE(a.bodyComplete);
      EXPECT_EQ(a.body, (firstHasId ? event(1) : "") + "data: nameless\n\n");
    });
}
// Comments are no events: a stream that is kept alive by them is resumed as any other.
TEST(Retry, AStreamIsResumedAfterAComment) {
  withProxy([](TestProxy& h) {
    int requests = 0;
    const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
      if (++requests > 1)
        return say(w, streamHead(id) + chunk(event(2)) + "0\r\n\r\n");
      say(w, streamHead(id) + chunk(event(1) + ": still here\n\n"));
      w.close();
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    const auto a = once(h, ask("/resume/x"));
    EXPECT_TRUE(a.bodyComplete);
    EXPECT_EQ(a.body, event(1) + ": still here\n\n" + event(2));
  });
}
// A zone that is drained has its live streams migrated: one without a target stays where it is.
TEST(Retry, AStreamWithoutATargetIsNotMigrated) {
  withProxy([](TestProxy& h) {
    h.saveUp(8, 12);
    h.runner("i-1", [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, streamHead(id) + chunk(event(1)));
      h.context.runners.setZoneDrains({{"z", {100, true}}});
      EventLoop::get().sleepFor(3ms);
      say(w, chunk(event(2)));
      EventLoop::get().sleepFor(3ms);
      say(w, chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
    });
    const auto a = once(h, ask("/resume/x"));
    EXPECT_TRUE(a.bodyComplete);
    EXPECT_EQ(a.body, correctBody(CallKind::resumable, "a1"));
  });
}
TEST(Retry, ARequestInACodingWithoutAnEndIsRejected) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", answers);
    EXPECT_EQ(once(h,
                   "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nAuthorization: Bearer key1\r\n"
                   "Transfer-Encoding: identity\r\n\r\n" +
                       ask("/once/x", "smuggled"))
                  .status,
              400);
    EXPECT_TRUE(r->got.empty());
  });
}

// Bodies larger than the sockets' buffers: only a part of the request was sent when the runner closes.

namespace {
void takeLargeBodies(TestProxy& h) {
  auto cfg = std::make_shared<Configuration>(*h.context.configuration);
  cfg->limits.maxBodyBytes = 64U << 20;
  cfg->limits.idleTimeout = 5s;
  h.context.configuration = cfg;
}
// A runner that reads the beginning of each request and then does what the test says.
struct PartReader {
  int begun = 0;
  std::shared_ptr<tcp::acceptor> acceptor;
  std::function<void(Connection&, int, const std::string&)> act;  // the how many-th, and what was read
  void accept() {
    acceptor->async_accept([this](SocketError ec, tcp::socket s) {
      if (ec)
        return;
      auto accepted = std::make_shared<tcp::socket>(std::move(s));
      EventLoop::get().spawn([this, accepted] {
        Connection w(std::move(*accepted));
        std::string got;
        if (Rig::readMore(w, got, 4096))
          act(w, ++begun, got);
      });
      accept();
    });
  }
  explicit PartReader(decltype(act) a) : act(std::move(a)) {
    acceptor = std::make_shared<tcp::acceptor>(EventLoop::get().io());
    acceptor->open(tcp::v4());
    acceptor->set_option(asio::socket_base::receive_buffer_size(8192));
    acceptor->bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    acceptor->listen();
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port()); }
};
void readAll(Connection& w, std::string got, std::size_t bodyBytes) {
  auto left = got.find("\r\n\r\n") + 4 + bodyBytes - got.size();
  while (left > 0) {
    got.clear();
    if (!Rig::readMore(w, got, 4096))
      return;
    left -= std::min(left, got.size());
  }
}
}  // namespace
TEST(Retry, APartiallySentBodyMayHaveRun) {
  const std::string body(24U << 20, 'b');
  for (const char* where : {"/safe/x", "/once/x"})
    for (int how = 0; how < 3; ++how)
      withProxy([&](TestProxy& h) {
        takeLargeBodies(h);
        // Static, like the harbour: its fibers may outlive the test.
        auto& r = *new PartReader([how, &body](Connection& w, int n, const std::string& got) {
          if (n == 1 && how == 0)
            return Rig::resetIt(w);
          if (n == 1 && how == 1)
            return w.close();
          if (n == 1) {
            say(w, completeResponse("a1", "full", 503, "X-Not-Executed: 1\r\n"));
            return Rig::resetIt(w);
          }
          readAll(w, got, body.size());
          say(w, completeResponse("a1", "ran"));
        });
        h.context.runners.setRunners(
            {Runner{"i-1", "s", r.address(), "z", 4, 1, 0}, Runner{"i-2", "s", r.address(), "z", 4, 1, 0}});
        const auto a = once(h, ask(where, "a1", "", body));
        const bool safe = std::string_view(where) == "/safe/x";
        // A runner's word that it did not run it may be lost with the reset: then it may have run.
        if (how == 2 && r.begun == 2) {
          EXPECT_EQ(a.body, "ran") << where;
        } else if (safe) {
          EXPECT_EQ(r.begun, 2) << how;
          EXPECT_EQ(a.body, "ran") << how;
        } else {
          EXPECT_EQ(r.begun, 1) << how;
          EXPECT_EQ(a.status, 502) << how;
        }
      });
}
// Only a write that took no byte at all is certain not to have arrived.
TEST(Retry, AWriteReturnsHowManyBytesWereSent) {
  withProxy([](TestProxy&) {
    tcp::acceptor acceptor(EventLoop::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Connection w;
    SocketError ec;
    w.connect(acceptor.local_endpoint(), ec);
    ASSERT_FALSE(ec);
    {
      Connection far(acceptor.accept());
      EXPECT_EQ(w.write(asio::buffer("abc", 3), ec), 3U);
      EXPECT_FALSE(ec);
      char got[3];
      EXPECT_EQ(far.read(asio::buffer(got), ec), 3U);
      Rig::resetIt(far);
    }
    w.awaitReadable(ec);
    EXPECT_EQ(w.write(asio::buffer("abc", 3), ec), 0U);
    EXPECT_TRUE(ec);
  });
}

// A partner site's node counts as a runner of the request like any other.

namespace {
std::shared_ptr<const Configuration> partnerRoutes(int maxAttempts) {
  return *parseConfiguration(R"({"configVersion":7,"routeTable":[
    {"label":"recap","authority":"h.example","pathPrefix":"/recap/","routeType":"stream","streamResume":true,"sessionAffinity":true,"expiryMs":20000,"targetLatencyMs":2000,"targetService":"s","maxAttempts":)" +
                             std::to_string(maxAttempts) + R"(,"keyless":true}],
    "serviceTable":[{"label":"s","engine":{"capacity":8,"kvCapacity":400000,"modelList":[{"label":"m"}]}}],"subscribers":[]})");
}
const std::string kLongPrompt = "X-Model: m\r\nX-Token-Count: 9000,80\r\nX-Prompt-Prefix: aa:6000,bb:3000\r\n";
}  // namespace
TEST(Retry, WhatAPartnerSiteMayHaveRunIsNotReportedAsNotRun) {
  withProxy([](TestProxy& h) {
    h.context.configuration = partnerRoutes(2);
    int there = 0;
    auto& partner = *new PartReader([&there](Connection& w, int n, const std::string&) { there = n, w.close(); });
    h.context.lookupPartner = [&](std::uint64_t, const std::string&) { return partner.address(); };
    const auto a = once(h, ask("/recap/x", "a1", kLongPrompt, "", ""));
    EXPECT_EQ(there, 1);
    EXPECT_EQ(a.status, 502) << "503 would promise that it has not run and never will";
  });
}
TEST(Retry, APartnerSiteCountsAmongTheRunnersOfARequest) {
  for (int most : {1, 2, 3})
    withProxy([most](TestProxy& h) {
      h.context.configuration = partnerRoutes(most);
      h.saveUp(8, 12);
      int all = 0;
      auto& partner = *new PartReader([&all](Connection& w, int, const std::string&) { ++all, w.close(); });
      h.context.lookupPartner = [&](std::uint64_t, const std::string&) { return partner.address(); };
      for (int i = 0; i < 4; ++i)
        h.runner("i-" + std::to_string(i), [&all](StandIn&, Connection& w, const std::string&, const std::string&) {
          ++all;
          w.close();
        });
      EXPECT_EQ(once(h, ask("/recap/x", "a1", kLongPrompt, "", "")).status, 502);
      EXPECT_EQ(all, most);
    });
}
// At most one runner there gets the request: this site's own come on top.
TEST(Retry, ARequestFromAPartnerSiteGoesToOneRunner) {
  withProxy([](TestProxy& h) {
    h.saveUp(8, 12);
    int all = 0;
    for (int i = 0; i < 3; ++i)
      h.runner("i-" + std::to_string(i), [&all](StandIn&, Connection& w, const std::string&, const std::string&) {
        ++all;
        w.close();
      });
    EXPECT_EQ(once(h, ask("/resume/x", "a1", "X-Partner-Site: 1\r\n")).status, 502);
    EXPECT_EQ(all, 1);
  });
}

// A connection that is idle in the pool when its runner closes it, or sends unsolicited bytes, is not reused.
TEST(Retry, AnIdleConnectionThatIsNoLongerCleanIsNotReused) {
  for (const char* where : {"/safe/x", "/once/x", "/stream/x", "/resume/x"}) {
    for (int how = 0; how < 3; ++how) {
      withProxy([&](TestProxy& h) {
        const auto kind = std::string_view(where) == "/safe/x" || std::string_view(where) == "/once/x"
                              ? CallKind::safe
                              : CallKind::stream;
        Waiter unclean;
        auto r = h.runner("i-1", [&](StandIn& me, Connection& w, const std::string& id, const std::string&) {
          say(w, correctResponse(kind, id));
          if (me.got.size() > 1)
            return;
          EventLoop::get().sleepFor(3ms);
          if (how == 0)
            Rig::resetIt(w);
          else if (how == 1)
            w.close();
          else
            say(w, correctResponse(kind, "late"));
          unclean.wake();
        });
        EXPECT_EQ(once(h, ask(where, "a1")).body, correctBody(kind, "a1"));
        EXPECT_TRUE(EventLoop::get().waitFor(unclean, 3000ms));
        EventLoop::get().sleepFor(2ms);
        const auto a = once(h, ask(where, "a2"));
        EXPECT_EQ(a.status, 200) << where << " " << how;
        EXPECT_EQ(a.body, correctBody(kind, "a2")) << where << " " << how;
        EXPECT_EQ(r->got.size(), 2U) << "each was sent once";
        EXPECT_EQ(r->connections, 2);
      });
    }
  }
}
