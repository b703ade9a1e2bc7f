/// @file
/// The proxy's client side: accepts connections, reads requests from them, has them handled and answered.
#pragma once
#include "proxy/http.hpp"
#include "proxy/proxy_context.hpp"
namespace zinccleat::proxy {
/// Serves an accepted connection in a fiber of its own, or closes it at once, unread, if there are too many.
/// @param context  must outlive the connection
void acceptClient(ProxyContext& context, tcp::socket socket);
/// Serves a client's connection until it ends. Parks the calling fiber.
void serveClient(ProxyContext& context, tcp::socket socket);
}  // namespace zinccleat::proxy
