// Clients' connections: requests are read from them, sent to runners, and answered.
#pragma once
#include "proxy/http.hpp"
#include "proxy/proxy_context.hpp"
namespace zinccleat::proxy {
// For each connection that was accepted: serves it in a fiber of its own, or closes it at once, unread, when there are
// too many. The context must outlive it.
void takeClient(ProxyContext& context, tcp::socket socket);
// Serves a client's connection until it ends; parks the calling fiber.
void serveClient(ProxyContext& context, tcp::socket socket);
}  // namespace zinccleat::proxy
