#include <sys/socket.h>

#include "proxy/proxy.hpp"
#include "request_handler.hpp"

namespace zinccleat::proxy {
namespace {
constexpr Duration kLeastBodyTime{5000};
constexpr Duration kIdleWhileLeaving{300};
constexpr auto kHeldPause = 20ms;
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
  if (context.draining)
    l.idle = std::min(l.idle, kIdleWhileLeaving);
  return l;
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
    // Why wait here: what is not read yet stands in the client's own window and costs us nothing.
    while (context.bodyBytes > context.maxBodyBytes)
      runtime::EventLoop::get().sleepFor(kHeldPause);
    RequestParser parser;
    const auto read = readRequest(client, buffer, parser, limits);
    if (read.end == ReadEnd::closed)
      return;
    if (read.end == ReadEnd::errorResponse)
      return turnAway(client, read.status);
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
