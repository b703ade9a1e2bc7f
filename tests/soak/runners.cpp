// Runners: HTTP servers that record the requests that they execute, send heartbeats and announce when they leave.
#include "control_calls.hpp"
#include "proxy/http.hpp"
#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
using proxy::Buffer;
using proxy::RequestParser;
constexpr Duration kHeartbeatInterval{400};
constexpr Duration kCallTimeout{1000};
constexpr Duration kMinServingAfterDrain{700};  // added to `Bounds::drain`, before a leaving runner stops
constexpr Duration kEventInterval{25};
constexpr int kMaxDetachCalls = 20;

struct SoakRunner : std::enable_shared_from_this<SoakRunner> {
  SoakRun& run;
  std::string id;
  tcp::acceptor acceptor;
  bool leaving = false;
  bool ended = false;
  std::int64_t sequence = 0;

  SoakRunner(SoakRun& soakRun, std::string runnerId)
      : run(soakRun),
        id(std::move(runnerId)),
        acceptor(runtime::EventLoop::get().io(), tcp::endpoint(asio::ip::make_address(run.fleet.ip(7, 1)), 0)) {}
  std::string address() const { return run.fleet.ip(7, 1) + ":" + std::to_string(acceptor.local_endpoint().port()); }
  const std::string& zone() const { return run.observations.runnerZones[id]; }
  void acceptNext();
  void serve(runtime::Connection& connection);
  void respond(const RequestParser::value_type& request, runtime::Connection& connection, runtime::SocketError& ec);
  bool sendHeartbeat();
  void sendHeartbeats();
  void leave();
};
std::map<std::string, std::shared_ptr<SoakRunner>>& runners() {
  static std::map<std::string, std::shared_ptr<SoakRunner>> all;
  return all;
}

void SoakRunner::acceptNext() {
  acceptor.async_accept([self = shared_from_this()](runtime::SocketError ec, tcp::socket socket) {
    if (ec)
      return;
    auto connection = std::make_shared<runtime::Connection>(std::move(socket));
    runtime::setConnectionOptions(connection->socket());
    runtime::EventLoop::get().spawn([self, connection] { self->serve(*connection); });
    self->acceptNext();
  });
}
void SoakRunner::serve(runtime::Connection& connection) {
  Buffer buffer;
  runtime::SocketError ec;
  while (!ec) {
    RequestParser parser;
    if (proxy::readRequest(connection, buffer, parser, {}).outcome != proxy::ReadOutcome::complete)
      return;
    respond(parser.get(), connection, ec);
  }
}
void SoakRunner::respond(const RequestParser::value_type& request, runtime::Connection& connection,
                         runtime::SocketError& ec) {
  const std::string attemptId(request["X-Attempt-Id"]);
  const std::string commonHeaders = "X-Attempt-Id: " + attemptId + "\r\nX-Server-Seal: soak\r\n";
  if (request["X-Expected-Instance"] != id) {
    connection.write(asio::buffer("HTTP/1.1 421 Misdirected Request\r\n" + commonHeaders + "Content-Length: 0\r\n\r\n"),
                     ec);
    return;
  }
  run.observations.executions[attemptId].push_back(
      {id, Clock::now(), std::string(request["X-Subscriber"]), !request["Authorization"].empty()});
  const bool stream = request.target().starts_with("/stream/");
  if (!stream) {
    runtime::EventLoop::get().sleepFor(run.drawDuration(1ms, 60ms));
    const auto body = "done " + attemptId;
    connection.write(asio::buffer("HTTP/1.1 200 OK\r\n" + commonHeaders +
                                  "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body),
                     ec);
    return;
  }
  connection.write(asio::buffer("HTTP/1.1 200 OK\r\n" + commonHeaders +
                                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"),
                   ec);
  const auto events = 2 + run.draw(20);
  for (std::uint64_t number = 1; number <= events && !ec; ++number) {
    const bool last = number == events;
    const auto event = "id: " + std::to_string(number) + "\ndata: " + (last ? "last " + attemptId : "next") + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    connection.write(asio::buffer(size.data() + event + "\r\n" + (last ? "0\r\n\r\n" : "")), ec);
    if (!last)
      runtime::EventLoop::get().sleepFor(kEventInterval);
  }
}
bool SoakRunner::sendHeartbeat() {
  const auto report = R"({"targetService":"models","configVersion":"v1","address":")" + address() + R"(","zone":")" +
                      zone() + R"(","capacity":16,"state":")" + (leaving ? "draining" : "in_service") +
                      R"(","sequence":)" + std::to_string(++sequence) + "}";
  return simulation::isAcknowledged(
      operations::callOne(run.randomControllerAddress(), simulation::heartbeatCall(id, report), kCallTimeout));
}
void SoakRunner::sendHeartbeats() {
  while (!ended && !leaving) {
    sendHeartbeat();
    runtime::EventLoop::get().sleepFor(kHeartbeatInterval);
  }
}
void SoakRunner::leave() {
  // A quarter of the runners detach at once, without announcing a drain, and then keep serving for the same time.
  const bool announcesDrain = run.draw(4) != 0;
  leaving = true;
  const auto announce = [&] {
    return announcesDrain ? sendHeartbeat()
                          : simulation::isAcknowledged(operations::callOne(run.randomControllerAddress(),
                                                                           simulation::detachCall(id), kCallTimeout));
  };
  int calls = 0;
  while (!announce() && ++calls < kMaxDetachCalls)
    runtime::EventLoop::get().sleepFor(50ms);
  if (calls < kMaxDetachCalls)
    run.observations.departures[id] = Clock::now();
  runtime::EventLoop::get().sleepFor(run.observations.bounds.drain +
                                     run.drawDuration(kMinServingAfterDrain, kMinServingAfterDrain * 3));
  if (announcesDrain)
    (void)operations::callOne(run.randomControllerAddress(), simulation::detachCall(id), kCallTimeout);
  ended = true;
  runtime::SocketError ec;
  acceptor.close(ec);
}
/// The runners are spread evenly, so that each zone can serve while the others are evacuated.
std::string zoneWithFewestRunners(const SoakRun& run) {
  std::map<std::string, int> runnersByZone;
  for (const auto& id : runnersInService(run))
    ++runnersByZone[run.observations.runnerZones.at(id)];
  return *std::min_element(kZones.begin(), kZones.end(), [&](const std::string& one, const std::string& other) {
    return runnersByZone[one] < runnersByZone[other];
  });
}
}  // namespace

void startRunner(SoakRun& run, const std::string& id) {
  auto runner = std::make_shared<SoakRunner>(run, id);
  run.observations.runnerZones[id] = zoneWithFewestRunners(run);
  runners()[id] = runner;
  runner->acceptNext();
  runtime::EventLoop::get().spawn([runner] { runner->sendHeartbeats(); });
}
void requestDeparture(SoakRun& run, const std::string& id) {
  const auto found = runners().find(id);
  if (found == runners().end() || found->second->leaving)
    return;
  run.spawn([runner = found->second] { runner->leave(); });
}
std::vector<std::string> runnersInService(const SoakRun&) {
  std::vector<std::string> ids;
  for (const auto& [id, runner] : runners())
    if (!runner->leaving)
      ids.push_back(id);
  return ids;
}
}  // namespace zinccleat::soak
