#include "trial_runner.hpp"

#include <cstdio>

#include "control_calls.hpp"

namespace zinccleat::simulation {
namespace {
constexpr auto kHeartbeatInterval = 400ms;
constexpr auto kHeartbeatTimeout = 1000ms;
constexpr auto kEventInterval = 15ms;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string chunkOf(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}
void send(const std::string& text, runtime::Connection& connection, runtime::SocketError& ec) {
  connection.write(asio::buffer(text), ec);
}
}  // namespace

std::string streamEvent(int number) {
  return "id: " + std::to_string(number) + "\ndata: recap\n\n";
}

TrialRunner::TrialRunner(const LocalFleet& fleet, std::string id, std::string service, ExecutionCounts& executions,
                         std::mt19937_64& random, TrialVersion version)
    : fleet_(fleet),
      id_(std::move(id)),
      service_(std::move(service)),
      executions_(executions),
      random_(random),
      version_(std::move(version)),
      acceptor_(runtime::EventLoop::get().io(), tcp::endpoint(asio::ip::make_address(fleet.ip(7, 1)), 0)) {
  address_ = fleet.ip(7, 1) + ":" + std::to_string(acceptor_.local_endpoint().port());
}
void TrialRunner::start() {
  acceptNext();
  runtime::EventLoop::get().spawn([self = shared_from_this()] { self->sendHeartbeats(); });
}
void TrialRunner::stop() {
  running_ = false;
  runtime::SocketError ec;
  acceptor_.close(ec);
  for (auto& connection : connections_)
    connection->close();
}

// --- requests ---

void TrialRunner::acceptNext() {
  acceptor_.async_accept([self = shared_from_this()](runtime::SocketError ec, tcp::socket socket) {
    if (ec || !self->running_)
      return;
    auto connection = std::make_shared<runtime::Connection>(std::move(socket));
    runtime::setConnectionOptions(connection->socket());
    self->connections_.push_back(connection);
    runtime::EventLoop::get().spawn([self, connection] { self->serve(*connection); });
    self->acceptNext();
  });
}
void TrialRunner::serve(runtime::Connection& connection) {
  proxy::Buffer buffer;
  runtime::SocketError ec;
  while (running_ && !ec) {
    proxy::RequestParser parser;
    if (proxy::readRequest(connection, buffer, parser, {}).outcome != proxy::ReadOutcome::complete)
      return;
    answer(parser.get(), connection, ec);
  }
}
void TrialRunner::answer(const proxy::RequestParser::value_type& request, runtime::Connection& connection,
                         runtime::SocketError& ec) {
  const std::string attemptId(request["X-Attempt-Id"]);
  if (request["X-Expected-Instance"] != id_)
    send(responseHead(attemptId, "421 Other", "Content-Length: 0\r\n\r\n"), connection, ec);
  else if (request.target().find("/push/") != std::string_view::npos)
    answerPush(attemptId, connection, ec);
  else
    answerStream(attemptId, std::atoi(std::string(request["Last-Event-Id"]).c_str()), connection, ec);
}
void TrialRunner::answerPush(const std::string& attemptId, runtime::Connection& connection, runtime::SocketError& ec) {
  ++executions_[attemptId];
  const auto body = "pushed " + attemptId;
  const auto headers = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  send(responseHead(attemptId, "200 OK", headers) + body, connection, ec);
}
// Sends the events after `lastEvent`, which is 0 for a new stream; an interrupted stream is resumed after the last
// event that the client has received.
void TrialRunner::answerStream(const std::string& attemptId, int lastEvent, runtime::Connection& connection,
                               runtime::SocketError& ec) {
  if (++streams_ % 2 == 0 && version_.failsEverySecondStream)
    return send(responseHead(attemptId, "500 Failed", "Content-Length: 0\r\n\r\n"), connection, ec);
  const auto headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  send(responseHead(attemptId, "200 OK", headers), connection, ec);
  for (int number = lastEvent + 1; number <= kEventsPerStream && !ec && running_; ++number) {
    runtime::EventLoop::get().sleepFor(kEventInterval);
    send(chunkOf(streamEvent(number)), connection, ec);
  }
  if (!ec && running_)
    send(std::string(kLastChunk), connection, ec);
}
std::string TrialRunner::responseHead(const std::string& attemptId, const char* status,
                                      const std::string& headers) const {
  return std::string("HTTP/1.1 ") + status + "\r\nX-Attempt-Id: " + attemptId + "\r\nX-Server-Seal: " + id_ + "\r\n" +
         headers;
}

// --- heartbeats ---

void TrialRunner::sendHeartbeats() {
  for (int sequence = 1; running_ && sendsHeartbeats_; ++sequence) {
    // An unacknowledged heartbeat is not retried, because the next heartbeat follows after kHeartbeatInterval.
    (void)operations::callOne(fleet_.control(random_()), heartbeatCall(id_, heartbeat(sequence)), kHeartbeatTimeout);
    runtime::EventLoop::get().sleepFor(kHeartbeatInterval);
  }
}
std::string TrialRunner::heartbeat(int sequence) const {
  return R"({"targetService":")" + service_ + R"(","configVersion":")" + version_.revision + R"(","address":")" +
         address_ + R"(","zone":"z","capacity":8,"state":"in_service","sequence":)" + std::to_string(sequence) + "}";
}
}  // namespace zinccleat::simulation
