// Passes a stream's events on as they come, from a runner or a partner site's node to the client.
#pragma once
#include "exchange.hpp"
namespace zinccleat::proxy {
using AnswerParser = http::response_parser<http::string_body>;
// upstream: the connection that the answer comes on; buffer: bytes of it that the parser has not seen yet.
// Begins the client's answer with this one's head if none has begun; else its events go on in the answer under way.
// Outcomes: completed, interrupted, movedAway, clientGone.
AttemptOutcome relayStream(Exchange& x, runtime::Connection& upstream, Buffer& buffer, AnswerParser& answer);
}  // namespace zinccleat::proxy
