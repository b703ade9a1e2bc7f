// One request, from its head to its answer.
#pragma once
#include "proxy/proxy.hpp"
namespace zinccleat::proxy {
// Takes a request that was read whole. True: the client's connection may carry another.
bool handleRequest(ProxyContext& context, runtime::Connection& client, RequestParser& parser);
}  // namespace zinccleat::proxy
