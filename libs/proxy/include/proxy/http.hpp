/// @file
/// Reads HTTP/1.1 requests from a connection and formats plain responses, with Boost.Beast's parser.
///
/// Reading parks the calling fiber. Errors of the peer are values: an HTTP status to answer with, or a closed
/// connection.
#pragma once
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>

#include "runtime/event_loop.hpp"
namespace zinccleat {
namespace http = boost::beast::http;
}  // namespace zinccleat
namespace zinccleat::proxy {
using Buffer = boost::beast::flat_buffer;
using RequestParser = http::request_parser<http::string_body>;

/// What a client may send, and how long it may take.
struct ReadLimits {
  std::size_t header = 16384;  ///< bytes of the request line and header fields
  std::size_t body = 4194304;  ///< bytes
  Duration idle{15000};        ///< until the first byte
  Duration headerTime{3000};   ///< from the first byte to the end of the header
  Duration bodyTime{10000};    ///< from there to the end of the body
};
enum class ReadOutcome {
  complete,  ///< the request was read
  closed,    ///< the connection ended, or stayed idle for too long
  rejected,  ///< a protocol error, a limit exceeded or a time-out: to be answered with `ReadResult::status`
};
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::closed;
  int status = 0;  ///< HTTP status, for `rejected`
};
/// Waits until the first bytes of a request are in the buffer.
/// @param idle  for how long at most
/// @return false if the connection ended or stayed idle.
bool awaitRequest(runtime::Connection& connection, Buffer& buffer, Duration idle);
/// Reads one request. Bytes that follow it stay in the buffer.
ReadResult readRequest(runtime::Connection& connection, Buffer& buffer, RequestParser& parser,
                       const ReadLimits& limits);
/// Feeds a parser from the buffer and the connection until the message is parsed.
/// @param headerOnly  until its header is parsed
/// @param ec          the parser's or the connection's error; none on success
template <class Parser>
void readIntoParser(runtime::Connection& connection, Buffer& buffer, Parser& parser, bool headerOnly, runtime::SocketError& ec);

/// The standard reason phrase of an HTTP status.
std::string_view reasonPhrase(int status);
/// A complete response.
/// @param extraHeaders  header lines, each with its CRLF
/// @param keepAlive     false adds `Connection: close`
std::string plainResponse(int status, std::string_view extraHeaders, std::string_view contentType,
                          std::string_view body, bool keepAlive);
/// The JSON body of an error response.
std::string jsonError(std::string_view text);

/// Bytes that one read from a connection may bring.
inline constexpr std::size_t kReadBytes = std::size_t{8} * 1024;

template <class Parser>
void readIntoParser(runtime::Connection& connection, Buffer& buffer, Parser& parser, bool headerOnly, runtime::SocketError& ec) {
  for (;;) {
    if (parser.is_done() || (headerOnly && parser.is_header_done())) {
      ec = {};
      return;
    }
    if (buffer.size() > 0) {
      const auto parsed = parser.put(buffer.data(), ec);
      buffer.consume(parsed);
      if (ec && ec != http::error::need_more)
        return;
      if (parsed > 0)
        continue;
    }
    ec = {};
    const auto received = connection.read(buffer.prepare(kReadBytes), ec);
    if (ec) {
      // Without a length the message ends with its connection.
      if (ec == asio::error::eof && parser.is_header_done() && !parser.chunked() && !parser.content_length()) {
        runtime::SocketError eofError;
        parser.put_eof(eofError);
        if (!eofError)
          ec = {};
      }
      return;
    }
    buffer.commit(received);
  }
}
}  // namespace zinccleat::proxy
