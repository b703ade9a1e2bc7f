#include "control_server.hpp"

#include "api_responses.hpp"
#include "control_api.hpp"
#include "proxy/http.hpp"
#include "transport/accepted_links.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMaxBodyBytes = 16U << 20;
constexpr std::size_t kBytesPerMb = std::size_t{1} << 20;
// Small fractions, because a configuration is held several times while it is checked, written and sent.
constexpr std::size_t kMemoryDivisorForBodies = 8;
constexpr std::size_t kMemoryDivisorForSocketBuffers = 16;
constexpr std::size_t kMemoryNumeratorForConnections = 3;
constexpr std::size_t kMemoryDivisorForConnections = 16;
// Stack, buffers, the usual header, and what the kernel holds unread.
constexpr std::size_t kBytesPerConnection = std::size_t{48} * 1024;
constexpr int kReservedDescriptors = 512;  // for files, and links that this controller dials
constexpr int kMinConnections = 64;
constexpr int kMaxConnections = 1 << 16;
constexpr auto kWriteTimeout = 5s;
constexpr Duration kAnswerMemoryWait{500};
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
runtime::SocketBufferBudget socketBuffersOf(const config::Settings& settings) {
  if (settings.memoryMb <= 0)
    return runtime::SocketBufferBudget();
  return runtime::SocketBufferBudget(static_cast<std::size_t>(settings.memoryMb) * kBytesPerMb /
                                     kMemoryDivisorForSocketBuffers);
}
int maxConnectionsOf(const config::Settings& settings) {
  int connections = kMaxConnections;
  if (settings.fdLimit > 0)
    connections = std::min(connections, settings.fdLimit - kReservedDescriptors -
                                            transport::AcceptedLinkLimits::of(0, settings.fdLimit).links);
  if (settings.memoryMb > 0)
    connections = std::min(connections, static_cast<int>(static_cast<std::size_t>(settings.memoryMb) * kBytesPerMb *
                                                         kMemoryNumeratorForConnections / kMemoryDivisorForConnections /
                                                         kBytesPerConnection));
  return std::max(kMinConnections, connections);
}
/// @return whether the response was written completely.
bool writeResponse(runtime::Connection& connection, const ApiResponse& response, bool keepAlive) {
  runtime::SocketError ec;
  const auto status = static_cast<int>(response.status);
  const auto header =
      proxy::plainResponseHeader(status, response.headers, kJsonContentType, response.body.size(), keepAlive);
  connection.setDeadline(Clock::now() + kWriteTimeout);
  connection.write(asio::buffer(header), asio::buffer(response.body), ec);
  connection.clearDeadline();
  return !ec;
}
}  // namespace

ControlServer::ControlServer(ControllerServices& services, std::string address)
    : services_(services),
      address_(std::move(address)),
      bodyMemory_(bodyMemoryOf(services.settings())),
      socketBuffers_(socketBuffersOf(services.settings())),
      maxConnections_(maxConnectionsOf(services.settings())) {}

Result<void> ControlServer::start() {
  const auto endpoint = runtime::parseEndpoint(address_);
  if (!endpoint)
    return makeError(endpoint.error().code, "controlPort: " + endpoint.error().message, endpoint.error().subcode);
  auto listener = transport::openListener(*endpoint, [this](tcp::socket socket) {
    // If no late connection makes way, this one is closed before any byte is read: the caller may try another
    // controller.
    if (connections_ >= maxConnections_ && !connectionTable_.evictForPlace())
      return;
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
  runtime::ServedConnection served(connectionTable_, bodyMemory_, std::move(socket), &socketBuffers_);
  auto& connection = served.connection();
  proxy::Buffer buffer;
  proxy::ReadLimits limits;
  limits.body = kMaxBodyBytes;
  for (;;) {
    {
      const proxy::IdleScope idle(idleConnections_, connection);
      if (!proxy::awaitRequest(connection, buffer, limits.idle))
        return;
    }
    const auto end = serveRequest(served, buffer, limits);
    served.memory().shrinkTo(0);
    if (end.rejectedWith != 0)
      return proxy::rejectRequest(connection, end.rejectedWith, limits);
    if (!end.staysOpen)
      return;
    served.enter(runtime::ConnectionPhase::idle);
    // A caller that sends calls ahead must not keep the event loop busy.
    if (buffer.size() > 0)
      runtime::EventLoop::get().yield();
  }
}
proxy::RequestEnd ControlServer::serveRequest(runtime::ServedConnection& served, proxy::Buffer& buffer,
                                              const proxy::ReadLimits& limits) {
  proxy::RequestParser parser;
  const auto read = proxy::readRequest(served, buffer, parser, limits);
  if (read.outcome == proxy::ReadOutcome::rejected)
    return {.rejectedWith = read.status};
  if (read.outcome != proxy::ReadOutcome::complete)
    return {};
  ++inFlight_;
  const bool staysOpen = handleRequest(served, parser);
  --inFlight_;
  return {.staysOpen = staysOpen};
}
bool ControlServer::handleRequest(runtime::ServedConnection& served, proxy::RequestParser& parser) {
  auto& connection = served.connection();
  auto response = accepting_ ? answerApiRequest(services_, apiRequestOf(parser.get(), connection), "http://" + address_)
                             : errorResponse(HttpStatus::service_unavailable, "shutting down");
  if (response.closeWithoutResponse)
    return false;
  // Only answers to reads are large, so a caller that gets 503 in their place may repeat the call.
  if (!served.reserve(served.memory().bytes() + proxy::uncharged(response.body.size()), kAnswerMemoryWait))
    response = errorResponse(HttpStatus::service_unavailable, "no memory for the answer");
  served.prepareToWrite(response.body.size());
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
