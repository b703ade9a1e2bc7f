/// @file
/// Runners that fail once, in a given way and at a given position in the request or the response, behind a proxy; all
/// on loopback connections.
#pragma once
#include <sys/socket.h>

#include "standins.hpp"

namespace zinccleat::proxy_testing {
using namespace zinccleat::config;
using namespace zinccleat::runtime;

enum class CallKind { safe, unsafe, stream, resumable };
enum class FailureMode { reset, close, silence, garbage, notExecuted, otherId, extraBytes };
/// The position of the failure. Positions up to `completeRequest` say how much of the request the runner has read; the
/// later ones say how much of its response the runner has sent.
enum class Position {
  beforeConnect,
  nothingRead,
  partOfHeader,
  completeHeader,
  partOfBody,
  completeRequest,  // no byte of the response was sent
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
inline const char* name(CallKind kind) {
  constexpr const char* names[] = {"safe", "unsafe", "stream", "resumable stream"};
  return names[static_cast<int>(kind)];
}
inline const char* name(FailureMode failureMode) {
  constexpr const char* names[] = {"reset",          "close",      "silence",    "garbage",
                                   "X-Not-Executed", "another id", "extra bytes"};
  return names[static_cast<int>(failureMode)];
}
inline const char* name(Position position) {
  constexpr const char* names[] = {"before connect", "nothing read",     "part of header",   "complete header",
                                   "part of body",   "complete request", "in status line",   "in answer's head",
                                   "after its head", "in body / event",  "all but last byte"};
  return names[static_cast<int>(position)];
}
inline const char* pathOf(CallKind kind) {
  constexpr const char* paths[] = {"/safe/x", "/once/x", "/stream/x", "/resume/x"};
  return paths[static_cast<int>(kind)];
}
inline bool isStream(CallKind kind) {
  return kind == CallKind::stream || kind == CallKind::resumable;
}
inline bool idempotent(CallKind kind) {
  return kind == CallKind::safe || kind == CallKind::resumable;
}

constexpr int kEvents = 4;
inline const std::string kBody = "0123456789";
/// The correct response to a request. A stream begins after the event `after`; 0 sends all events.
inline std::string correctResponse(CallKind kind, const std::string& id, int after = 0) {
  if (!isStream(kind))
    return completeResponse(id, "body of " + id);
  std::string response = streamHeader(id);
  for (int number = after + 1; number <= kEvents; ++number)
    response += chunk(event(number));
  return response + "0\r\n\r\n";
}
inline std::string correctBody(CallKind kind, const std::string& id) {
  if (!isStream(kind))
    return "body of " + id;
  std::string body;
  for (int number = 1; number <= kEvents; ++number)
    body += event(number);
  return body;
}
inline std::string responsePrefix(CallKind kind, Position position, const std::string& id) {
  const auto response = correctResponse(kind, id);
  const auto headerSize = response.find("\r\n\r\n") + 4;
  switch (position) {
    case Position::inStatusLine:
      return response.substr(0, 7);
    case Position::inResponseHeader:
      return response.substr(0, headerSize - 9);
    case Position::afterResponseHeader:
      return response.substr(0, headerSize);
    case Position::inResponseBody:  // for a stream: inside the chunk of its second event
      return isStream(kind) ? response.substr(0, headerSize + chunk(event(1)).size() + 9)
                            : response.substr(0, headerSize + 4);
    case Position::allButLastByte:
      return response.substr(0, response.size() - 1);
    default:
      return {};
  }
}

/// A proxy with several runners that fail once: the first request that reaches any of the runners is read up to a given
/// position and then fails in the given way. All later requests are answered correctly.
struct FailureScenario {
  struct ReceivedRequest {
    std::string runner, bytes;
    bool notExecuted = false;
  };
  TestProxy proxy;
  CallKind kind = CallKind::safe;
  FailureMode failureMode = FailureMode::reset;
  Position position = Position::completeRequest;
  bool failureInjected = false;
  int fibers = 0;
  // One entry for each request that began to arrive, in order.
  std::vector<std::shared_ptr<ReceivedRequest>> receivedRequests;
  struct RunnerListener {
    std::string id;
    std::shared_ptr<tcp::acceptor> acceptor;
  };
  std::vector<std::shared_ptr<RunnerListener>> listeners;
  std::vector<std::unique_ptr<Connection>> backlogFillers;

  explicit FailureScenario(int runners = 3) {
    for (int i = 0; i < runners; ++i) {
      auto listener = std::make_shared<RunnerListener>();
      listener->id = "i-" + std::to_string(i);
      listener->acceptor =
          std::make_shared<tcp::acceptor>(EventLoop::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      listeners.push_back(listener);
      accept(listener);
    }
    updateRunners();
    proxy.fillRetryReserve(8, 12);
  }
  void updateRunners(const std::string& firstAddress = {}) {
    std::vector<Runner> runnerList;
    for (auto& listener : listeners) {
      auto address = "127.0.0.1:" + std::to_string(listener->acceptor->local_endpoint().port());
      if (!firstAddress.empty() && listener == listeners.front())
        address = firstAddress;
      runnerList.push_back(Runner{listener->id, "s", address, "z", 4, 1, 0});
    }
    proxy.context.runners.setRunners(runnerList);
  }
  void accept(const std::shared_ptr<RunnerListener>& listener) {
    listener->acceptor->async_accept([this, listener](SocketError ec, tcp::socket socket) {
      if (ec)
        return;
      auto accepted = std::make_shared<tcp::socket>(std::move(socket));
      ++fibers;
      EventLoop::get().spawn([this, listener, accepted] {
        {
          Connection connection(std::move(*accepted));
          setConnectionOptions(connection.socket());
          while (serve(*listener, connection)) {
          }
        }
        --fibers;
      });
      accept(listener);
    });
  }
  static bool readMore(Connection& connection, std::string& got, std::size_t maxBytes) {
    char part[4096];
    SocketError ec;
    const auto received = connection.read(asio::buffer(part, std::min(sizeof part, maxBytes)), ec);
    got.append(part, received);
    return !ec && received > 0;
  }
  static void resetConnection(Connection& connection) {
    const linger now{1, 0};
    ::setsockopt(connection.socket().native_handle(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    connection.close();
  }
  static std::string headerOf(const std::string& request, const std::string& field) {
    const auto at = request.find("\r\n" + field + ": ");
    if (at == std::string::npos)
      return {};
    const auto from = at + field.size() + 4;
    return request.substr(from, request.find("\r\n", from) - from);
  }
  // Serves one request on a connection. Returns false if the connection has ended.
  bool serve(RunnerListener& listener, Connection& connection) {
    SocketError ec;
    connection.awaitReadable(ec);
    char byte = 0;
    if (ec || ::recv(connection.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
      return false;
    auto request = std::make_shared<ReceivedRequest>();
    request->runner = listener.id;
    receivedRequests.push_back(request);
    const bool injectsFailure = !std::exchange(failureInjected, true);
    const auto readUpTo = injectsFailure ? position : Position::completeRequest;
    auto& got = request->bytes;
    const auto bytesToRead = [&]() -> std::size_t {
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
          const auto length = headerOf(got, "Content-Length");
          return head == std::string::npos ? got.size() + 1 : head + 4 + (length.empty() ? 0 : std::stoul(length));
        }
      }
    };
    while (got.size() < bytesToRead())
      if (!readMore(connection, got, readUpTo == Position::completeRequest ? 4096 : 1))
        return false;
    const auto id = headerOf(got, "X-Attempt-Id");
    const auto after = headerOf(got, "Last-Event-Id");
    if (!injectsFailure) {
      sendBytes(connection, correctResponse(kind, id, after.empty() ? 0 : std::stoi(after)));
      return true;
    }
    return injectFailure(connection, *request, id.empty() ? "a1" : id);
  }
  bool injectFailure(Connection& connection, ReceivedRequest& request, const std::string& id) {
    if (const auto prefix = responsePrefix(kind, position, id); !prefix.empty()) {
      sendBytes(connection, prefix);
      // The prefix must arrive before the failure: a reset discards bytes that the proxy has not read yet.
      EventLoop::get().sleepFor(2ms);
    }
    switch (failureMode) {
      case FailureMode::reset:
        resetConnection(connection);
        return false;
      case FailureMode::close:
        connection.close();
        return false;
      case FailureMode::silence: {
        std::string rest;
        while (readMore(connection, rest, 4096)) {
        }
        return false;
      }
      case FailureMode::garbage:
        sendBytes(connection, "\x16\x03\x01 nothing of this is an answer\r\n\r\n");
        connection.close();
        return false;
      case FailureMode::notExecuted:
        request.notExecuted = true;
        sendBytes(connection, completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n"));
        if (position == Position::completeRequest)
          return true;
        // The rest of the request is read because closing a connection with unread bytes resets it, which would discard
        // the response.
        connection.socket().shutdown(tcp::socket::shutdown_send, ignored_);
        for (std::string rest; readMore(connection, rest, 4096);) {
        }
        return false;
      case FailureMode::otherId:
        sendBytes(connection, correctResponse(kind, "of-another") + correctResponse(kind, id));
        return true;
      case FailureMode::extraBytes:
        sendBytes(connection, correctResponse(kind, id) + correctResponse(kind, "of-another"));
        return true;
    }
    return false;
  }
  // Closes all connections and waits until no fiber refers to this object.
  void closeAndWait() {
    SocketError ec;
    proxy.listener->close(ec);
    for (auto& listener : listeners)
      listener->acceptor->close(ec);
    backlogFillers.clear();
    proxy.context.connections = ConnectionPool();
    for (int i = 0; i < 4000 && (fibers > 0 || proxy.context.clients > 0); ++i)
      EventLoop::get().sleepFor(1ms);
    EXPECT_EQ(fibers, 0);
    EXPECT_EQ(proxy.context.clients, 0);
    EventLoop::get().sleepFor(1ms);  // lets the handlers of the closed acceptors run
  }
  int receivedRequestCount() const { return static_cast<int>(receivedRequests.size()); }

 private:
  SocketError ignored_;
};
}  // namespace zinccleat::proxy_testing
