/// @file
/// The proxy's client side: accepts connections, reads requests from them and passes the requests to the handler.
#pragma once
#include "proxy/http.hpp"
#include "proxy/proxy_context.hpp"
namespace zinccleat::proxy {
/// Serves an accepted connection in its own fiber. Closes the connection without reading from it if
/// `ProxyContext::maxClients` connections are open.
/// @param context  must outlive the connection
void acceptClient(ProxyContext& context, tcp::socket socket);
/// Serves a client's connection until it ends. Suspends the calling fiber.
void serveClient(ProxyContext& context, tcp::socket socket);
}  // namespace zinccleat::proxy
