/// @file
/// The proxy's client side: accepts connections, reads requests from them and passes the requests to the handler.
#pragma once
#include "proxy/http.hpp"
#include "proxy/proxy_context.hpp"
namespace zinccleat::proxy {
/// Serves an accepted connection in its own fiber. If `ProxyContext::maxClients` connections are
/// open, a late one makes way; if none is late, the accepted connection is closed unread.
/// @param context  must outlive the connection
void acceptClient(ProxyContext& context, tcp::socket socket);
/// Serves a client's connection until it ends. Suspends the calling fiber.
void serveClient(ProxyContext& context, tcp::socket socket);
}  // namespace zinccleat::proxy
