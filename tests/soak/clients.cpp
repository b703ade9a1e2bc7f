// Clients of the access machines. Each client keeps one connection and uses the connection until the proxy closes it,
// also while the access machine shuts down.
#include "proxy/http.hpp"
#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kPollInterval{1000};
constexpr Duration kPollTimeout{900};
constexpr Duration kConnectTimeout{900};
constexpr int kFailedPollsUntilOutOfService = 2;
constexpr Duration kRequestDeadline{4000};         // value of X-Deadline-Ms
constexpr Duration kResponseTimeout{5500};         // time that a client waits for the response
constexpr std::uint64_t kPausesPerLongPause = 12;  // one of so many pauses lasts seconds, on an open connection
constexpr int kOk = 200;

struct Response {
  int status = 0;
  bool bodyMatches = false;
  bool closes = false;
};
class SoakClient {
 public:
  SoakClient(SoakRun& run, int number) : run_(run), number_(number) {}
  void sendRequestsUntilLoadEnds() {
    while (run_.loadActive) {
      pause();
      if (!run_.loadActive)
        return;
      if (!connection_ && !connect())
        continue;
      send();
    }
  }

 private:
  void pause() const {
    const bool isLong = run_.draw(kPausesPerLongPause) == 0;
    runtime::EventLoop::get().sleepFor(isLong ? run_.drawDuration(500ms, 3500ms) : run_.drawDuration(5ms, 120ms));
  }
  bool connect() {
    std::vector<int> candidates;
    for (int machine = 0; machine < run_.plan.access; ++machine)
      if (run_.inService[static_cast<std::size_t>(machine)])
        candidates.push_back(machine);
    machine_ = candidates.empty() ? static_cast<int>(run_.draw(static_cast<std::uint64_t>(run_.plan.access)))
                                  : candidates[run_.draw(candidates.size())];
    connection_ = openConnection(run_.fleet.access(machine_));
    buffer_.clear();
    return connection_ != nullptr;
  }
  ClientRequest nextRequest() {
    ClientRequest request;
    request.attemptId = "c" + std::to_string(number_) + "-" + std::to_string(++requests_);
    request.machine = machine_;
    const auto kind = run_.draw(10);
    request.kind = kind < 4 ? RequestKind::safe : kind < 7 ? RequestKind::unsafe : RequestKind::stream;
    if (request.kind == RequestKind::safe && run_.draw(3) == 0) {
      const auto key = run_.draw(kAccessKeys.size() + 1);
      request.accessKey = key < kAccessKeys.size() ? kAccessKeys[key] : kUnknownKey;
    } else if (request.kind == RequestKind::safe && run_.draw(2) == 0)
      request.route = "t" + std::to_string(run_.draw(kOptionalRouteCount));
    return request;
  }
  static std::string pathOf(const ClientRequest& request) {
    if (!request.accessKey.empty())
      return "/keyed/x";
    if (!request.route.empty())
      return "/" + request.route + "/x";
    switch (request.kind) {
      case RequestKind::safe:
        return "/safe/x";
      case RequestKind::unsafe:
        return "/unsafe/x";
      case RequestKind::stream:
        break;
    }
    return "/stream/x";
  }
  void send() {
    auto request = nextRequest();
    const auto text = "POST " + pathOf(request) +
                      " HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: " + request.attemptId +
                      "\r\nX-Deadline-Ms: " + std::to_string(kRequestDeadline.count()) +
                      (request.accessKey.empty() ? "" : "\r\nAuthorization: Bearer " + request.accessKey) +
                      "\r\nContent-Length: 4\r\n\r\nbody";
    runtime::SocketError ec;
    connection_->setDeadline(Clock::now() + kResponseTimeout);
    const auto written = connection_->write(asio::buffer(text), ec);
    request.sentAt = Clock::now();
    if (ec || written < text.size()) {
      connection_.reset();  // the request is incomplete, so that the proxy cannot have read it
      return;
    }
    const auto response = receive(request, ec);
    request.endedAt = Clock::now();
    if (response) {
      request.end = RequestEnd::answered;
      request.status = response->status;
      request.bodyMatches = response->bodyMatches;
    } else {
      request.end = connection_->deadlineExceeded() ? RequestEnd::unanswered : RequestEnd::connectionClosed;
    }
    if (!response || response->closes)
      connection_.reset();
    else
      connection_->clearDeadline();
    run_.observations.requests.push_back(std::move(request));
  }
  std::optional<Response> receive(const ClientRequest& request, runtime::SocketError& ec) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    proxy::readIntoParser(*connection_, buffer_, parser, false, ec);
    if (ec || !parser.is_done())
      return std::nullopt;
    const auto& message = parser.get();
    Response response;
    response.status = static_cast<int>(message.result_int());
    response.closes = !message.keep_alive();
    const auto& body = message.body();
    const bool stream = request.kind == RequestKind::stream;
    response.bodyMatches = message["X-Server-Seal"] == "soak" &&
                           (stream ? body.starts_with("id: 1\n") && body.ends_with("last " + request.attemptId + "\n\n")
                                   : body == "done " + request.attemptId);
    return response;
  }

  SoakRun& run_;
  int number_;
  int requests_ = 0;
  int machine_ = 0;
  std::unique_ptr<runtime::Connection> connection_;
  proxy::Buffer buffer_;
};

bool isReady(const std::string& address) {
  runtime::Connection connection;
  runtime::SocketError ec;
  connection.setDeadline(Clock::now() + kPollTimeout);
  connection.connect(*runtime::parseEndpoint(address), ec);
  if (!ec)
    connection.write(asio::buffer(std::string("GET /v1/readiness HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n")),
                     ec);
  proxy::Buffer buffer;
  http::response_parser<http::string_body> parser;
  if (!ec)
    proxy::readIntoParser(connection, buffer, parser, true, ec);
  return !ec && parser.get().result_int() == kOk;
}
void pollReadiness(SoakRun& run, int machine) {
  int failedPolls = kFailedPollsUntilOutOfService;
  for (;; runtime::EventLoop::get().sleepFor(kPollInterval)) {
    failedPolls = isReady(run.fleet.readiness(machine)) ? 0 : failedPolls + 1;
    run.inService[static_cast<std::size_t>(machine)] = failedPolls < kFailedPollsUntilOutOfService ? 1 : 0;
  }
}
}  // namespace

std::unique_ptr<runtime::Connection> openConnection(const std::string& address) {
  auto connection = std::make_unique<runtime::Connection>();
  runtime::SocketError ec;
  connection->setDeadline(Clock::now() + kConnectTimeout);
  connection->connect(*runtime::parseEndpoint(address), ec);
  connection->clearDeadline();
  if (ec)
    return nullptr;
  runtime::setConnectionOptions(connection->socket());
  return connection;
}
void startReadinessPolling(SoakRun& run) {
  for (int machine = 0; machine < run.plan.access; ++machine)
    runtime::EventLoop::get().spawn([&run, machine] { pollReadiness(run, machine); });
}
void startClients(SoakRun& run) {
  for (int number = 0; number < run.plan.clients; ++number)
    run.spawn([&run, number] { SoakClient(run, number).sendRequestsUntilLoadEnds(); });
}
}  // namespace zinccleat::soak
