#include "trial_clients.hpp"

#include "proxy/http.hpp"
#include "trial_runner.hpp"

namespace zinccleat::simulation {
namespace {
constexpr auto kTotalRequestTimeout = 5s;  // for all attempts of one request together
constexpr auto kAttemptTimeout = 3s;
constexpr auto kLateThreshold = 1s;
constexpr Duration kRetryInterval{50};     // after an attempt that failed or returned a wrong body
constexpr Duration kMinRetryInterval{20};  // lower limit if a refused attempt has a shorter or no Retry-After
constexpr auto kRequestInterval = 20ms;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::string requestText(const std::string& path, const std::string& attemptId) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: trial.example\r\nAuthorization: Bearer trial-key\r\nX-Attempt-Id: " + attemptId +
         "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}
std::string completeStream() {
  std::string text;
  for (int number = 1; number <= kEventsPerStream; ++number)
    text += streamEvent(number);
  return text;
}
}  // namespace

struct TrialClients::Response {
  int status = 0;
  std::string body, retryAfter;
};

void TrialClients::start(int clients) {
  for (int client = 0; client < clients; ++client)
    runtime::EventLoop::get().spawn([this, client] { run(client); });
}
void TrialClients::run(int client) {
  ++running_;
  for (int number = 0; !stopped_; ++number) {
    const auto kind = number % 2 ? RequestKind::push : RequestKind::stream;
    makeRequest(kind, std::to_string(client) + "-" + std::to_string(number));
    runtime::EventLoop::get().sleepFor(kRequestInterval);
  }
  --running_;
}
void TrialClients::makeRequest(RequestKind kind, const std::string& requestId) {
  const auto begin = Clock::now();
  for (int number = 0; Clock::now() - begin < kTotalRequestTimeout; ++number) {
    const auto result = attempt(kind, requestId + "-" + std::to_string(number));
    count(result.end);
    if (result.end == AttemptEnd::served) {
      ++(kind == RequestKind::push ? statistics_.pushes : statistics_.streams);
      statistics_.late += Clock::now() - begin > kLateThreshold;
      return;
    }
    const auto retryAfter = result.end == AttemptEnd::refused ? result.retryAfter : kRetryInterval;
    runtime::EventLoop::get().sleepFor(std::max(retryAfter, kMinRetryInterval));
  }
  ++statistics_.lost;
}
TrialClients::AttemptResult TrialClients::attempt(RequestKind kind, const std::string& attemptId) const {
  const bool push = kind == RequestKind::push;
  const auto response = send(requestText(push ? "/push/x" : "/recap/x", attemptId));
  if (!response)
    return {AttemptEnd::failed};
  return evaluate(*response, push ? "pushed " + attemptId : completeStream());
}
std::optional<TrialClients::Response> TrialClients::send(const std::string& request) const {
  runtime::Connection connection;
  runtime::SocketError ec;
  connection.setDeadline(Clock::now() + kAttemptTimeout);
  connection.connect(*runtime::parseEndpoint(fleet_.access()), ec);
  if (ec)
    return std::nullopt;
  runtime::setConnectionOptions(connection.socket());
  connection.write(asio::buffer(request), ec);
  proxy::Buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  if (!ec)
    proxy::readIntoParser(connection, buffer, parser, false, ec);
  if (ec || !parser.is_done())
    return std::nullopt;
  const auto& message = parser.get();
  return Response{static_cast<int>(message.result_int()), message.body(), std::string(message["Retry-After"])};
}
TrialClients::AttemptResult TrialClients::evaluate(const Response& response, const std::string& expectedBody) {
  if (response.status == kUnavailable || response.status == kTooManyRequests) {
    const std::chrono::duration<double> retryAfter(std::atof(response.retryAfter.c_str()));
    return {AttemptEnd::refused, std::chrono::duration_cast<Duration>(retryAfter)};
  }
  if (response.status != kOk)
    return {AttemptEnd::failed};
  return {response.body == expectedBody ? AttemptEnd::served : AttemptEnd::wrong};
}
void TrialClients::count(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::served:
      break;
    case AttemptEnd::refused:
      ++statistics_.refusals;
      break;
    case AttemptEnd::failed:
      ++statistics_.failures;
      break;
    case AttemptEnd::wrong:
      ++statistics_.wrong;
      break;
  }
}
}  // namespace zinccleat::simulation
