#include "client_watch.hpp"
#include "proxy/proxy.hpp"
#include "request_handler.hpp"

namespace zinccleat::proxy {
namespace {
constexpr Duration kMinBodyTime{5000};

ReadLimits limitsOf(const ProxyContext& context) {
  ReadLimits readLimits;
  if (context.configuration) {
    const auto& limits = context.configuration->limits;
    readLimits.header = limits.maxHeaderBytes;
    readLimits.body = limits.maxBodyBytes;
    readLimits.idle = limits.idleTimeout;
    readLimits.headerTime = limits.headerTimeout;
    readLimits.bodyTime = std::max(limits.idleTimeout, kMinBodyTime);
  }
  if (context.shutdown.begun())
    readLimits.idle = std::min(readLimits.idle, kIdleTimeoutWhileDraining);
  return readLimits;
}

// Waits for the first bytes of the next request. The connection counts as idle meanwhile. Returns false if the
// connection ends first.
bool awaitNextRequest(ProxyContext& context, runtime::Connection& client, Buffer& buffer, Duration idle) {
  const IdleScope scope(context.idleConnections, client);
  return awaitRequest(client, buffer, idle);
}

// Reads one request and answers it. What the request holds is freed when the function returns.
RequestEnd serveRequest(ProxyContext& context, runtime::ServedConnection& served, Buffer& buffer,
                        const ReadLimits& limits) {
  RequestParser parser;
  const auto read = readRequest(served, buffer, parser, limits);
  if (read.outcome == ReadOutcome::closed)
    return {};
  if (read.outcome == ReadOutcome::rejected)
    return {.rejectedWith = read.status};
  auto& client = served.connection();
  // The client may have disconnected while its request was not being read, because this process waited for capacity
  // or stood still. Such a request must not reach a runner.
  if (client.peerHasClosed())
    return {};
  ++context.inFlight;
  const bool keepAlive = handleRequest(context, client, parser, served.memory());
  --context.inFlight;
  return {.staysOpen = keepAlive};
}
}  // namespace

void acceptClient(ProxyContext& context, tcp::socket socket) {
  // The connection is closed before any byte is read, so the client may safely retry any request on another node.
  if (context.clients >= context.maxClients && !context.connectionTable.evictForPlace())
    return;
  ++context.clients;
  auto accepted = std::make_shared<tcp::socket>(std::move(socket));
  runtime::EventLoop::get().spawn([&context, accepted] {
    serveClient(context, std::move(*accepted));
    --context.clients;
  });
}

void serveClient(ProxyContext& context, tcp::socket socket) {
  runtime::ServedConnection served(context.connectionTable, context.messageMemory, std::move(socket),
                                   &context.socketBuffers);
  Buffer buffer;
  for (;;) {
    const auto limits = limitsOf(context);
    if (!awaitNextRequest(context, served.connection(), buffer, limits.idle))
      return;
    const auto end = serveRequest(context, served, buffer, limits);
    served.memory().shrinkTo(0);
    if (end.rejectedWith != 0)
      return rejectRequest(served.connection(), end.rejectedWith, limits);
    if (!end.staysOpen)
      return;
    served.enter(runtime::ConnectionPhase::idle);
    // A client that sends requests ahead must not keep the event loop busy.
    if (buffer.size() > 0)
      runtime::EventLoop::get().yield();
  }
}
}  // namespace zinccleat::proxy
