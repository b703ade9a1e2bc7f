/// @file
/// Reads HTTP/1.1 requests from a connection and formats plain responses, with Boost.Beast's parser.
///
/// Reading suspends the calling fiber. Errors caused by the peer are returned as values: an HTTP status to answer with,
/// or a closed connection.
#pragma once
#include "proxy/message_feed.hpp"
#include "runtime/connection_table.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {
using RequestParser = http::request_parser<http::string_body>;

/// Limits on the size of a client's request and on the time for reading it.
struct ReadLimits {
  std::size_t header = 16384;  ///< bytes of the request line and header fields
  std::size_t body = 4194304;  ///< bytes of the body
  Duration idle{15000};        ///< milliseconds until the first byte
  Duration headerTime{3000};   ///< milliseconds from the first byte to the end of the header
  Duration bodyTime{10000};    ///< milliseconds from the end of the header to the end of the body
  /// Milliseconds to wait, without reading on, until there is memory for the next part of the request.
  Duration memoryTime{500};
};
/// The part of a message's memory that a connection's fixed charge does not cover.
inline std::size_t uncharged(std::size_t bytes) {
  constexpr auto kCharged = runtime::ServedConnection::kChargedMessageBytes;
  return bytes > kCharged ? bytes - kCharged : 0;
}
enum class ReadOutcome {
  complete,  ///< the request was read completely
  closed,    ///< the connection ended, or stayed idle for too long
  rejected,  ///< protocol error, exceeded limit or timeout; to be answered with `ReadResult::status`
};
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::closed;
  int status = 0;  ///< HTTP status, set for `rejected`
};
/// What happens to an accepted connection after one request.
struct RequestEnd {
  bool staysOpen = false;
  int rejectedWith = 0;  ///< HTTP status for a request that could not be read; 0 if it was read
};
/// Waits until the first bytes of a request are in the buffer.
/// @param idle  maximum time to wait
/// @return false if the connection ended or stayed idle.
bool awaitRequest(runtime::Connection& connection, Buffer& buffer, Duration idle);
/// Reads one request from an accepted connection. Bytes that follow the request stay in the buffer.
///
/// The fields of a trailer section are dropped: they must not set what the header decides (RFC 9110, section 6.5.1).
///
/// What the request holds beyond the connection's fixed charge is reserved before more of it is read, whatever part of
/// the request it is. If there is no room in time, the request is rejected with 503.
ReadResult readRequest(runtime::ServedConnection& served, Buffer& buffer, RequestParser& parser,
                       const ReadLimits& limits);
/// Answers a request that could not be read, and ends the connection. What the client still sends is read and dropped,
/// up to 4 MiB or the size of a request within the limits, and for a short time, so that the client gets the answer.
void rejectRequest(runtime::Connection& connection, int status, const ReadLimits& limits);
/// Reads one request from a connection whose memory is not accounted for.
ReadResult readRequest(runtime::Connection& connection, Buffer& buffer, RequestParser& parser,
                       const ReadLimits& limits);
/// Feeds a parser from the buffer and the connection until the message is parsed. Lines before chunks and trailers are
/// limited to `kMaxUnparsedBytes`.
/// @param headerOnly  stop once the header is parsed
/// @param ec          error of the parser or the connection; none on success; `no_buffer_space` if `memory` cannot grow
/// @param memory      grows by what the message holds before more is read; may be null
template <class Parser>
void readIntoParser(runtime::Connection& connection, Buffer& buffer, Parser& parser, bool headerOnly,
                    runtime::SocketError& ec, runtime::MemoryReservation* memory = nullptr) {
  const auto reserved = memory ? memory->bytes() : 0;
  MessageFeed<Parser> feed(connection, buffer, parser);
  const auto hasMemory = [&] {
    return !memory ||
           memory->tryGrowTo(reserved + (headerOnly ? uncharged(feed.headerMemory()) : feed.growingBodyMemory()));
  };
  feed.run(headerOnly, hasMemory, ec);
}

/// The standard reason phrase of an HTTP status.
std::string_view reasonPhrase(int status);
/// Formats the header of a response whose body is written separately.
std::string plainResponseHeader(int status, std::string_view extraHeaders, std::string_view contentType,
                                std::size_t bodyBytes, bool keepAlive);
/// Formats a complete response.
/// @param extraHeaders  header lines, each terminated by CRLF
/// @param keepAlive     if false, adds `Connection: close`
std::string plainResponse(int status, std::string_view extraHeaders, std::string_view contentType,
                          std::string_view body, bool keepAlive);
/// The JSON body of an error response.
std::string jsonError(std::string_view text);

}  // namespace zinccleat::proxy
