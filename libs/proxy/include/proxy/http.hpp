/// @file
/// Reads HTTP/1.1 requests from a connection and formats plain responses, with Boost.Beast's parser.
///
/// Reading suspends the calling fiber. Errors caused by the peer are returned as values: an HTTP status to answer with,
/// or a closed connection.
#pragma once
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>

#include "runtime/event_loop.hpp"
#include "runtime/memory_budget.hpp"
namespace zinccleat {
namespace http = boost::beast::http;
}  // namespace zinccleat
namespace zinccleat::proxy {
using Buffer = boost::beast::flat_buffer;
using RequestParser = http::request_parser<http::string_body>;

/// Limits on the size of a client's request and on the time for reading it.
struct ReadLimits {
  std::size_t header = 16384;  ///< bytes of the request line and header fields
  std::size_t body = 4194304;  ///< bytes of the body
  Duration idle{15000};        ///< milliseconds until the first byte
  Duration headerTime{3000};   ///< milliseconds from the first byte to the end of the header
  Duration bodyTime{10000};    ///< milliseconds from the end of the header to the end of the body
  /// Milliseconds to wait, with the body unread, until the memory for the body is free.
  Duration memoryTime{500};
};
enum class ReadOutcome {
  complete,  ///< the request was read completely
  closed,    ///< the connection ended, or stayed idle for too long
  rejected,  ///< protocol error, exceeded limit or timeout; to be answered with `ReadResult::status`
};
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::closed;
  int status = 0;  ///< HTTP status, set for `rejected`
};
/// Waits until the first bytes of a request are in the buffer.
/// @param idle  maximum time to wait
/// @return false if the connection ended or stayed idle.
bool awaitRequest(runtime::Connection& connection, Buffer& buffer, Duration idle);
/// Reads one request. Bytes that follow the request stay in the buffer.
/// @param memory  reserves the body's bytes before they are read; null: the body is not limited by a budget. If the
///                budget has no room in time, the request is rejected with 503.
ReadResult readRequest(runtime::Connection& connection, Buffer& buffer, RequestParser& parser, const ReadLimits& limits,
                       runtime::MemoryReservation* memory = nullptr);
/// Feeds a parser from the buffer and the connection until the message is parsed.
/// @param headerOnly  stop once the header is parsed
/// @param ec          error of the parser or the connection; none on success; `no_buffer_space` if `memory` cannot grow
/// @param memory      grows by the bytes of the body before they are read; may be null
template <class Parser>
void readIntoParser(runtime::Connection& connection, Buffer& buffer, Parser& parser, bool headerOnly,
                    runtime::SocketError& ec, runtime::MemoryReservation* memory = nullptr);

/// The standard reason phrase of an HTTP status.
std::string_view reasonPhrase(int status);
/// Formats a complete response.
/// @param extraHeaders  header lines, each terminated by CRLF
/// @param keepAlive     if false, adds `Connection: close`
std::string plainResponse(int status, std::string_view extraHeaders, std::string_view contentType,
                          std::string_view body, bool keepAlive);
/// The JSON body of an error response.
std::string jsonError(std::string_view text);

/// Maximum number of bytes that one read from a connection returns.
inline constexpr std::size_t kReadBytes = std::size_t{8} * 1024;

/// A message without a length ends when its connection is closed. Clears `ec` if the message is complete then.
template <class Parser>
void endMessageAtEof(Parser& parser, runtime::SocketError& ec) {
  if (ec != asio::error::eof || !parser.is_header_done() || parser.chunked() || parser.content_length())
    return;
  runtime::SocketError eofError;
  parser.put_eof(eofError);
  if (!eofError)
    ec = {};
}
template <class Parser>
void readIntoParser(runtime::Connection& connection, Buffer& buffer, Parser& parser, bool headerOnly,
                    runtime::SocketError& ec, runtime::MemoryReservation* memory) {
  const auto reserved = memory ? memory->bytes() : 0;
  // Twice the size, because a string that grows may double its capacity.
  const auto hasMemory = [&] {
    return !memory || memory->tryGrowTo(reserved + 2 * (parser.get().body().size() + kReadBytes));
  };
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
    if (!hasMemory()) {
      ec = asio::error::no_buffer_space;
      return;
    }
    const auto received = connection.read(buffer.prepare(kReadBytes), ec);
    if (ec)
      return endMessageAtEof(parser, ec);
    buffer.commit(received);
  }
}
}  // namespace zinccleat::proxy
