#include "client_watch.hpp"
#include "proxy/proxy.hpp"
#include "request_handler.hpp"

namespace zinccleat::proxy {
namespace {
constexpr Duration kLeastBodyTime{5000};
constexpr auto kBodyCapacityPollInterval = 20ms;
constexpr auto kDrainTime = 500ms;

ReadLimits limitsOf(const ProxyContext& context) {
  ReadLimits l;
  if (context.configuration) {
    const auto& limits = context.configuration->limits;
    l.header = limits.maxHeaderBytes;
    l.body = limits.maxBodyBytes;
    l.idle = limits.idleTimeout;
    l.headerTime = limits.headerTimeout;
    l.bodyTime = std::max(limits.idleTimeout, kLeastBodyTime);
  }
  if (context.shutdown.begun())
    l.idle = std::min(l.idle, kIdleWhileLeaving);
  return l;
}
// Waits, as an idle connection, for the next request to begin. False: the connection ends first.
bool awaitNextRequest(ProxyContext& context, runtime::Connection& client, Buffer& buffer, Duration idle) {
  const IdleScope scope(context.idleConnections, client);
  return awaitRequest(client, buffer, idle);
}
// Waits while the bodies in work exceed their limit: what is not read yet stays in the client's own send window and
// costs nothing here. Returns whether there was a wait.
bool waitForBodyCapacity(const ProxyContext& context) {
  if (context.bodyBytes <= context.maxBodyBytes)
    return false;
  while (context.bodyBytes > context.maxBodyBytes)
    runtime::EventLoop::get().sleepFor(kBodyCapacityPollInterval);
  return true;
}
// A request that can't be read in full: answered, and its connection ends.
void turnAway(runtime::Connection& client, int status) {
  runtime::SocketError ec;
  client.write(asio::buffer(plainAnswer(status, "", "application/json", jsonError(reasonOf(status)), false)), ec);
  // What is left unread would reset the connection and take the answer with it.
  client.socket().shutdown(tcp::socket::shutdown_send, ec);
  char sink[2048];
  client.setDeadline(Clock::now() + kDrainTime);
  while (!ec && client.read(asio::buffer(sink), ec) > 0) {
  }
}
}  // namespace

void takeClient(ProxyContext& context, tcp::socket socket) {
  // Closed before anything was read: its client may try elsewhere, whatever it wanted.
  if (context.clients >= context.maxClients)
    return;
  ++context.clients;
  auto held = std::make_shared<tcp::socket>(std::move(socket));
  runtime::EventLoop::get().spawn([&context, held] {
    serveClient(context, std::move(*held));
    --context.clients;
  });
}
void serveClient(ProxyContext& context, tcp::socket socket) {
  runtime::Connection client(std::move(socket));
  runtime::tune(client.socket());
  Buffer buffer;
  for (;;) {
    const auto limits = limitsOf(context);
    const bool waited = waitForBodyCapacity(context);
    if (!awaitNextRequest(context, client, buffer, limits.idle))
      return;
    RequestParser parser;
    const auto read = readRequest(client, buffer, parser, limits);
    if (read.end == ReadEnd::closed)
      return;
    if (read.end == ReadEnd::errorResponse)
      return turnAway(client, read.status);
    // A client may have left while its request waited unread: a runner must not begin on it.
    if (waited && hasLeft(client))
      return;
    ++context.inFlight;
    const auto bytes = parser.get().body().size();
    context.bodyBytes += bytes;
    const bool more = handleRequest(context, client, parser);
    context.bodyBytes -= bytes;
    --context.inFlight;
    if (!more)
      return;
  }
}
}  // namespace zinccleat::proxy
