/// @file
/// Handles one request, from its admission to its response.
#pragma once
#include "proxy/proxy.hpp"
namespace zinccleat::proxy {
/// Handles a request that was read completely.
/// @return whether the client's connection may carry another request.
bool handleRequest(ProxyContext& context, runtime::Connection& client, RequestParser& parser,
                   runtime::MemoryReservation& memory);
}  // namespace zinccleat::proxy
