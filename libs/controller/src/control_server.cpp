#include "control_server.hpp"

#include "api_responses.hpp"
#include "control_api.hpp"
#include "proxy/http.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMaxBodyBytes = 16U << 20;
constexpr std::size_t kBytesPerMb = std::size_t{1} << 20;
// Small fractions, because a configuration is held several times while it is checked, written and sent.
constexpr std::size_t kMemoryDivisorForBodies = 8;
constexpr std::size_t kMemoryDivisorForConnections = 8;
constexpr std::size_t kBytesPerConnection = std::size_t{32} * 1024;  // stack, buffers and header of a request
constexpr int kReservedDescriptors = 512;                            // for files, peers and agents
constexpr int kMinConnections = 64;
constexpr int kMaxConnections = 1 << 16;
constexpr auto kWriteTimeout = 5s;
constexpr std::string_view kJsonContentType = "application/json";

using HttpRequest = proxy::RequestParser::value_type;

std::string headerOf(const HttpRequest& request, const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}
/// @param connection the caller's connection, which must outlive the result.
/// @param request loses its body to the result.
ApiRequest apiRequestOf(HttpRequest& request, runtime::Connection& connection) {
  return {std::string(request.method_string()),
          std::string(request.target()),
          std::move(request.body()),
          headerOf(request, "X-Base-Version"),
          headerOf(request, "X-Hint-Seal"),
          [&connection](Duration wait) { return connection.awaitPeerClose(wait); }};
}
runtime::MemoryBudget bodyMemoryOf(const config::Settings& settings) {
  if (settings.memoryMb <= 0)
    return runtime::MemoryBudget();
  return runtime::MemoryBudget(static_cast<std::size_t>(settings.memoryMb) * kBytesPerMb / kMemoryDivisorForBodies);
}
int maxConnectionsOf(const config::Settings& settings) {
  int connections = kMaxConnections;
  if (settings.fdLimit > 0)
    connections = std::min(connections, settings.fdLimit - kReservedDescriptors);
  if (settings.memoryMb > 0)
    connections = std::min(connections, static_cast<int>(static_cast<std::size_t>(settings.memoryMb) * kBytesPerMb /
                                                         kMemoryDivisorForConnections / kBytesPerConnection));
  return std::max(kMinConnections, connections);
}
/// Writes an error response to a request that could not be read. The caller then closes the connection.
void writeErrorResponse(runtime::Connection& connection, int status) {
  runtime::SocketError ignored;
  const auto body = proxy::jsonError(proxy::reasonPhrase(status));
  connection.write(asio::buffer(proxy::plainResponse(status, "", kJsonContentType, body, false)), ignored);
}
/// @return whether the response was written completely.
bool writeResponse(runtime::Connection& connection, const ApiResponse& response, bool keepAlive) {
  runtime::SocketError ec;
  const auto status = static_cast<int>(response.status);
  connection.setDeadline(Clock::now() + kWriteTimeout);
  connection.write(
      asio::buffer(proxy::plainResponse(status, response.headers, kJsonContentType, response.body, keepAlive)), ec);
  connection.clearDeadline();
  return !ec;
}
}  // namespace

ControlServer::ControlServer(ControllerServices& services, std::string address)
    : services_(services),
      address_(std::move(address)),
      bodyMemory_(bodyMemoryOf(services.settings())),
      maxConnections_(maxConnectionsOf(services.settings())) {}

Result<void> ControlServer::start() {
  const auto endpoint = runtime::parseEndpoint(address_);
  if (!endpoint)
    return makeError(endpoint.error().code, "controlPort: " + endpoint.error().message, endpoint.error().subcode);
  auto listener = transport::openListener(*endpoint, [this](tcp::socket socket) {
    if (connections_ >= maxConnections_)
      return;  // closes the connection before any byte is read, so the caller may try another controller
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    ++connections_;
    runtime::EventLoop::get().spawn([this, shared] {
      serve(std::move(*shared));
      --connections_;
    });
  });
  if (!listener)
    return tl::unexpected(listener.error());
  listener_ = std::move(*listener);
  return {};
}
void ControlServer::serve(tcp::socket socket) {
  runtime::Connection connection(std::move(socket));
  runtime::setConnectionOptions(connection.socket());
  proxy::Buffer buffer;
  proxy::ReadLimits limits;
  limits.body = kMaxBodyBytes;
  for (;;) {
    {
      const proxy::IdleScope idle(idleConnections_, connection);
      if (!proxy::awaitRequest(connection, buffer, limits.idle))
        return;
    }
    proxy::RequestParser parser;
    runtime::MemoryReservation memory(bodyMemory_);
    const auto read = proxy::readRequest(connection, buffer, parser, limits, &memory);
    if (read.outcome == proxy::ReadOutcome::closed)
      return;
    if (read.outcome == proxy::ReadOutcome::rejected)
      return writeErrorResponse(connection, read.status);
    ++inFlight_;
    const bool staysOpen = handleRequest(connection, parser);
    --inFlight_;
    if (!staysOpen)
      return;
  }
}
bool ControlServer::handleRequest(runtime::Connection& connection, proxy::RequestParser& parser) {
  const auto response = accepting_
                            ? answerApiRequest(services_, apiRequestOf(parser.get(), connection), "http://" + address_)
                            : errorResponse(HttpStatus::service_unavailable, "shutting down");
  if (response.closeWithoutResponse)
    return false;
  const bool keepAlive = parser.get().keep_alive() && accepting_;
  return writeResponse(connection, response, keepAlive) && keepAlive;
}
void ControlServer::stopAccepting() {
  accepting_ = false;
  if (listener_)
    listener_->close();
  idleConnections_.limitIdleTime(Duration(0));
}
}  // namespace zinccleat::controller
