/// @file
/// Forwards the events of a stream as they arrive, from a runner or a partner node to the client.
#pragma once
#include "exchange.hpp"
#include "upstream_response.hpp"
namespace zinccleat::proxy {
/// Forwards a stream until it ends. Begins the client's response with this one's header if none has begun; else the
/// events continue the response in progress.
/// @param upstream  the connection that the response arrives on
/// @param buffer    bytes of it that the parser has not seen yet
/// @param response  its header has been parsed
/// @return completed, interrupted, migrated or clientDisconnected.
AttemptOutcome relayStream(Exchange& exchange, runtime::Connection& upstream, Buffer& buffer, ResponseParser& response);
}  // namespace zinccleat::proxy
