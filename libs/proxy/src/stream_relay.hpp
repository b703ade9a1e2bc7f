/// @file
/// Forwards the events of a stream as they arrive, from a runner or a partner node to the client.
#pragma once
#include "exchange.hpp"
#include "upstream_response.hpp"
namespace zinccleat::proxy {
/// Forwards a stream until it ends. If the client's response has not begun, it begins with the header of `response`;
/// otherwise the events continue the client's response.
/// @param upstream  the connection on which the response arrives
/// @param buffer    received bytes that the parser has not processed yet
/// @param response  parser of the response; the header must have been parsed
/// @return `completed`, `interrupted`, `migrated` or `clientDisconnected`.
AttemptOutcome relayStream(Exchange& exchange, runtime::Connection& upstream, Buffer& buffer, ResponseParser& response);
}  // namespace zinccleat::proxy
