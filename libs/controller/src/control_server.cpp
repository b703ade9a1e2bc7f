#include "control_server.hpp"

#include "control_api.hpp"
#include "proxy/http.hpp"
#include "transport/peer_link.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMaxBodyBytes = 16U << 20;
constexpr auto kWriteTimeout = 5s;
constexpr std::string_view kJson = "application/json";

using HttpRequest = proxy::RequestParser::value_type;

std::string headerOf(const HttpRequest& request, const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}
ApiRequest apiRequestOf(const HttpRequest& request) {
  return {std::string(request.method_string()), std::string(request.target()), request.body(),
          headerOf(request, "X-Base-Version"), headerOf(request, "X-Hint-Seal")};
}
/// The answer to a request that could not be read; the connection ends with it.
void refuse(runtime::Connection& connection, int status) {
  runtime::SocketError ignored;
  const auto body = proxy::jsonError(proxy::reasonOf(status));
  connection.write(asio::buffer(proxy::plainAnswer(status, "", kJson, body, false)), ignored);
}
/// @return whether the response was written completely.
bool writeResponse(runtime::Connection& connection, const ApiResponse& response, bool keepAlive) {
  runtime::SocketError ec;
  const auto status = static_cast<int>(response.status);
  connection.setDeadline(Clock::now() + kWriteTimeout);
  connection.write(asio::buffer(proxy::plainAnswer(status, response.headers, kJson, response.body, keepAlive)), ec);
  connection.clearDeadline();
  return !ec;
}
void serveConnection(ControllerServices& services, tcp::socket socket, const std::string& heartbeatUri) {
  runtime::Connection connection(std::move(socket));
  runtime::tune(connection.socket());
  proxy::Buffer buffer;
  proxy::ReadLimits limits;
  limits.body = kMaxBodyBytes;
  for (bool keepAlive = true; keepAlive;) {
    proxy::RequestParser parser;
    const auto read = proxy::readRequest(connection, buffer, parser, limits);
    if (read.end == proxy::ReadEnd::closed)
      return;
    if (read.end == proxy::ReadEnd::errorResponse)
      return refuse(connection, read.status);
    const auto response = answerApiRequest(services, apiRequestOf(parser.get()), heartbeatUri);
    keepAlive = parser.get().keep_alive();
    if (!writeResponse(connection, response, keepAlive))
      return;
  }
}
}  // namespace

Result<void> startControlServer(const std::string& address, ControllerServices& services) {
  const auto endpoint = runtime::parseEndpoint(address);
  if (!endpoint)
    return makeError(endpoint.error().code, "controlPort: " + endpoint.error().message, endpoint.error().subcode);
  return transport::listen(*endpoint, [&services, heartbeatUri = "http://" + address](tcp::socket socket) {
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    runtime::EventLoop::get().spawn(
        [&services, shared, heartbeatUri] { serveConnection(services, std::move(*shared), heartbeatUri); });
  });
}
}  // namespace zinccleat::controller
