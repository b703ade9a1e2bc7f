#include "proxy/http.hpp"

#include "config/control_requests.hpp"

namespace zinccleat::proxy {
namespace {
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kServiceUnavailable = 503;
constexpr auto kMemoryPollInterval = 20ms;
constexpr std::size_t kTypicalHeaderBytes = 160;

int statusOf(const runtime::SocketError& ec) {
  if (ec == http::error::header_limit)
    return kHeaderTooLarge;
  if (ec == http::error::body_limit)
    return kPayloadTooLarge;
  return kBadRequest;
}

// Whether the client sent invalid HTTP. False if the client only closed its connection.
bool isProtocolError(const runtime::SocketError& ec) {
  const bool fromParser = ec.category() == make_error_code(http::error::bad_line_ending).category();
  return fromParser && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

void readHeader(runtime::Connection& connection, Buffer& buffer, RequestParser& parser, runtime::SocketError& ec) {
  readIntoParser(connection, buffer, parser, true, ec);
  // If the final transfer coding is not chunked, the end of the body is unknown. The following bytes must not be read
  // as another request, so the request is rejected.
  if (!ec && !parser.chunked() && parser.get().count(http::field::transfer_encoding))
    ec = http::error::bad_transfer_encoding;
}

// Waits until the memory for a body of known length is reserved. The body stays in the socket's buffers meanwhile.
bool reserveBody(const RequestParser& parser, runtime::MemoryReservation& memory, Duration wait) {
  const auto length = parser.content_length();
  if (!length)
    return true;
  const auto end = Clock::now() + wait;
  while (!memory.tryGrowTo(*length)) {
    if (Clock::now() >= end)
      return false;
    runtime::EventLoop::get().sleepFor(kMemoryPollInterval);
  }
  return true;
}

void readBody(runtime::Connection& connection, Buffer& buffer, RequestParser& parser,
              runtime::MemoryReservation* memory, runtime::SocketError& ec) {
  const bool growsWhileRead = memory && !parser.content_length();
  // A client that sends `Expect: 100-continue` waits for this interim response before it sends the body.
  if (parser.get().count(http::field::expect))
    connection.write(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ec);
  if (!ec)
    readIntoParser(connection, buffer, parser, false, ec, growsWhileRead ? memory : nullptr);
}
}  // namespace

bool awaitRequest(runtime::Connection& connection, Buffer& buffer, Duration idle) {
  if (buffer.size() > 0)
    return true;
  runtime::SocketError ec;
  connection.setDeadline(Clock::now() + idle);
  auto received = connection.read(buffer.prepare(kReadBytes), ec);
  connection.clearDeadline();
  // Bytes may have arrived in the same iteration of the event loop in which the deadline cancelled the read.
  runtime::SocketError ignored;
  if (ec == asio::error::operation_aborted && connection.socket().available(ignored) > 0) {
    ec = {};
    received = connection.read(buffer.prepare(kReadBytes), ec);
  }
  if (ec || received == 0)
    return false;
  buffer.commit(received);
  return true;
}

ReadResult readRequest(runtime::Connection& connection, Buffer& buffer, RequestParser& parser, const ReadLimits& limits,
                       runtime::MemoryReservation* memory) {
  parser.header_limit(static_cast<std::uint32_t>(limits.header));
  parser.body_limit(limits.body);
  parser.eager(!memory);  // the body is parsed only after its memory is reserved
  if (!awaitRequest(connection, buffer, limits.idle))
    return {ReadOutcome::closed, 0};

  runtime::SocketError ec;
  connection.setDeadline(Clock::now() + limits.headerTime);
  readHeader(connection, buffer, parser, ec);
  if (!ec && !parser.is_done()) {
    connection.clearDeadline();
    if (memory && !reserveBody(parser, *memory, limits.memoryTime))
      return {ReadOutcome::rejected, kServiceUnavailable};
    parser.eager(true);
    connection.setDeadline(Clock::now() + limits.bodyTime);
    readBody(connection, buffer, parser, memory, ec);
  }
  const bool timedOut = connection.deadlineExceeded();
  connection.clearDeadline();
  if (ec == asio::error::no_buffer_space)
    return {ReadOutcome::rejected, kServiceUnavailable};
  if (!ec)
    return {ReadOutcome::complete, 0};
  if (timedOut)
    return {ReadOutcome::rejected, kRequestTimeout};
  if (isProtocolError(ec))
    return {ReadOutcome::rejected, statusOf(ec)};
  return {ReadOutcome::closed, 0};
}

std::string_view reasonPhrase(int status) {
  return http::obsolete_reason(static_cast<http::status>(status));
}

std::string plainResponse(int status, std::string_view extraHeaders, std::string_view contentType,
                          std::string_view body, bool keepAlive) {
  std::string response;
  response.reserve(kTypicalHeaderBytes + extraHeaders.size() + body.size());
  response += "HTTP/1.1 " + std::to_string(status) + " ";
  response += reasonPhrase(status);
  response += "\r\n";
  response += extraHeaders;
  if (!body.empty()) {
    response += "Content-Type: ";
    response += contentType;
    response += "\r\n";
  }
  response += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (!keepAlive)
    response += "Connection: close\r\n";
  response += "\r\n";
  response += body;
  return response;
}

std::string jsonError(std::string_view text) {
  return "{\"error\":" + config::quoteJson(text) + "}";
}
}  // namespace zinccleat::proxy
