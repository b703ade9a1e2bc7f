#include "operations/call.hpp"

#include "proxy/http.hpp"

namespace zinccleat::operations {
namespace {
constexpr int kMaxRedirections = 2;
constexpr int kTemporaryRedirect = 307;
constexpr int kFirstServerError = 500;

struct HttpAnswer {
  CallResponse response;
  std::string location;  // the Location header field; empty if there is none
};
// The node and request target of a request or redirect.
struct Destination {
  std::string address;
  std::string path;
};

std::string writeRequest(const std::string& address, const std::string& path, const Call& call) {
  std::string request = call.method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n";
  for (const auto& header : call.headers)
    request += header.name + ": " + header.value + "\r\n";
  if (!call.body.empty())
    request += "Content-Type: application/json\r\n";
  request += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
  return request;
}

tl::unexpected<Error> connectionError(const std::string& address, const runtime::Connection& connection,
                                      const runtime::SocketError& failure) {
  const auto reason = connection.deadlineExceeded() ? "no answer" : failure.message();
  return makeError(ErrorCode::unavailable, address + ": " + reason);
}

// Sends one request to one node and returns its response. Does not follow redirects.
Result<HttpAnswer> exchange(const Destination& destination, const Call& call, Duration timeout) {
  const auto& address = destination.address;
  const auto endpoint = runtime::parseEndpoint(address);
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  runtime::Connection connection;
  runtime::SocketError failure;
  connection.setDeadline(Clock::now() + timeout);
  connection.connect(*endpoint, failure);
  if (failure)
    return connectionError(address, connection, failure);
  if (call.mayStillSend && !call.mayStillSend())
    return makeError(ErrorCode::unavailable, address + ": request was cancelled before it was sent");
  const auto request = writeRequest(address, destination.path, call);
  connection.write(asio::buffer(request), failure);
  proxy::Buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(call.maxAnswerBytes);
  if (!failure)
    proxy::readIntoParser(connection, buffer, parser, false, failure);
  if (failure)
    return connectionError(address, connection, failure);
  auto& message = parser.get();
  const auto location = message[http::field::location];
  return HttpAnswer{{static_cast<int>(message.result_int()), std::move(message.body()), address},
                    {location.data(), location.size()}};
}

std::optional<Destination> parseLocation(std::string_view location) {
  constexpr std::string_view kScheme = "http://";
  if (!location.starts_with(kScheme))
    return std::nullopt;
  location.remove_prefix(kScheme.size());
  const auto slash = location.find('/');
  const auto path = slash == std::string_view::npos ? std::string_view("/") : location.substr(slash);
  return Destination{std::string(location.substr(0, slash)), std::string(path)};
}
}  // namespace

Result<CallResponse> callOne(const std::string& address, const Call& call, Duration timeout) {
  Destination destination{address, call.path};
  for (int redirections = 0;; ++redirections) {
    auto answer = exchange(destination, call, timeout);
    if (!answer)
      return tl::unexpected(answer.error());
    if (answer->response.status != kTemporaryRedirect || redirections == kMaxRedirections)
      return std::move(answer->response);
    auto next = parseLocation(answer->location);
    if (!next)
      return makeError(ErrorCode::unavailable, destination.address + ": redirect without a valid Location");
    destination = std::move(*next);
  }
}

Result<CallResponse> callAny(const std::vector<std::string>& addresses, const Call& call, Duration timeout) {
  Result<CallResponse> last = makeError(ErrorCode::invalidArgument, "no address to call");
  for (const auto& address : addresses) {
    last = callOne(address, call, timeout);
    if (last && last->status < kFirstServerError)
      break;
  }
  return last;
}
}  // namespace zinccleat::operations
