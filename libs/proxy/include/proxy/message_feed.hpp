/// @file
/// Feeds an HTTP parser from a connection, and accounts for what the parser and the receive buffer hold.
///
/// The parser leaves bytes in the buffer until it can parse a whole part: a line of a header, the line before a chunk,
/// or the trailer section. The header has a limit in the parser; the other parts are limited here. So is what
/// stands between the parts of a body, which the parser drops.
#pragma once
#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <string_view>

#include "runtime/connection.hpp"
namespace zinccleat {
namespace http = boost::beast::http;
}  // namespace zinccleat
namespace zinccleat::proxy {
using Buffer = boost::beast::flat_buffer;

/// Maximum number of bytes that one read from a connection returns.
inline constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
/// Maximum length of a line before a chunk, and of a trailer section, if the caller sets no other limit.
inline constexpr std::size_t kMaxUnparsedBytes = std::size_t{16} * 1024;
/// Bytes between the parts of a body (sizes of chunks, extensions, line ends) that are allowed for each of its bytes,
/// so that chunks of one byte with padded sizes are.
inline constexpr std::size_t kFramingPerBodyByte = 16;
/// Memory of a header field beyond its bytes.
inline constexpr std::size_t kBytesPerHeaderField = 96;

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

/// Feeds one message to its parser.
/// @tparam Stream  what the bytes are read from: `runtime::Connection`, or a type with its `read`
template <class Parser, class Stream = runtime::Connection>
class MessageFeed {
 public:
  /// @param maxUnparsed  limit of a chunk line or trailer section; a longer one is `http::error::header_limit`
  MessageFeed(Stream& connection, Buffer& buffer, Parser& parser, std::size_t maxUnparsed = kMaxUnparsedBytes)
      : connection_(connection), buffer_(buffer), parser_(parser), maxUnparsed_(maxUnparsed) {}

  /// Reads and parses until the header, or the whole message, is parsed.
  /// @param mayHold  called before each read, and before header fields are parsed; the functions below tell what memory
  ///                 that takes. If it returns false, the result is `no_buffer_space`
  /// @param ec       error of the parser or the connection; none on success
  template <class MayHold>
  void run(bool headerOnly, MayHold mayHold, runtime::SocketError& ec) {
    for (;;) {
      ec = {};
      if (parser_.is_done() || (headerOnly && parser_.is_header_done()))
        return;
      countUnparsedFields();
      if (unparsedLines_ > 0 && !mayHold()) {
        ec = asio::error::no_buffer_space;
        return;
      }
      if (buffer_.size() > 0) {
        const auto parsed = parseOnce(ec);
        if (ec)
          return;
        if (parsed > 0)
          continue;
      }
      if (!mayHold()) {
        ec = asio::error::no_buffer_space;
        return;
      }
      readOnce(ec);
      if (ec || parser_.is_done())
        return;
    }
  }
  /// Parses what can be parsed of the received bytes; if that is nothing, reads once. For callers that take the body
  /// away as it arrives.
  /// @param ec  error of the parser or the connection; none on success
  void advance(runtime::SocketError& ec) {
    ec = {};
    if (buffer_.size() > 0) {
      const auto parsed = parseOnce(ec);
      if (ec || parsed > 0)
        return;
    }
    readOnce(ec);
  }
  /// Bytes of memory that the header, its fields and the receive buffer hold once the received bytes are parsed.
  std::size_t headerMemory() const {
    return buffer_.capacity() + parsedHeaderMemory() + unparsedLines_ * kBytesPerHeaderField;
  }
  /// The part of it that the parsed header takes.
  std::size_t parsedHeaderMemory() const { return headerBytes_ + headerLines_ * kBytesPerHeaderField; }
  /// Bytes of memory to reserve for a body of unknown length, with the next read. Twice the size, because a string that
  /// grows may double its capacity.
  std::size_t growingBodyMemory() const { return 2 * (parser_.get().body().size() + kReadBytes); }
  /// Counts the fields of the trailer section, which the parser adds to those of the header.
  void countTrailerFields() {
    const auto fields = static_cast<std::size_t>(std::distance(parser_.get().begin(), parser_.get().end()));
    headerLines_ = std::max(headerLines_, fields);
  }

 private:
  void readOnce(runtime::SocketError& ec) {
    const auto received = connection_.read(buffer_.prepare(kReadBytes), ec);
    if (ec)
      return endMessageAtEof(parser_, ec);
    buffer_.commit(received);
  }
  /// Parses what can be parsed of the buffer. @return the number of bytes parsed.
  std::size_t parseOnce(runtime::SocketError& ec) {
    const bool inHeader = !parser_.is_header_done();
    const auto bodyBefore = parser_.get().body().size();
    const auto parsed = parser_.put(buffer_.data(), ec);
    if (inHeader)
      countHeader(parsed);
    else
      countBody(parsed, parser_.get().body().size() - bodyBefore);
    buffer_.consume(parsed);
    if (ec == http::error::need_more)
      ec = {};
    if (!ec && !inHeader && exceedsLimit(parsed))
      ec = http::error::header_limit;
    return parsed;
  }
  bool exceedsLimit(std::size_t parsed) const {
    const bool lineIsTooLong = parsed == 0 && buffer_.size() >= maxUnparsed_;
    // One line before a chunk and the trailers may have the limit of a header each.
    return lineIsTooLong || framingBytes_ > 2 * maxUnparsed_ + kFramingPerBodyByte * bodyBytes_;
  }
  void countBody(std::size_t parsed, std::size_t ofBody) {
    bodyBytes_ += ofBody;
    framingBytes_ += parsed - std::min(parsed, ofBody);
  }
  std::string_view unparsed() const { return {static_cast<const char*>(buffer_.data().data()), buffer_.size()}; }
  static std::size_t linesIn(std::string_view bytes) {
    return static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
  }
  void countHeader(std::size_t parsed) {
    headerBytes_ += parsed;
    headerLines_ += linesIn(unparsed().substr(0, parsed));
    unparsedLines_ = 0;
  }
  void countUnparsedFields() {
    unparsedLines_ = 0;
    if (!parser_.is_header_done())
      unparsedLines_ = linesIn(unparsed().substr(0, unparsed().find("\r\n\r\n")));
  }

  Stream& connection_;
  Buffer& buffer_;
  Parser& parser_;
  std::size_t maxUnparsed_;
  std::size_t headerBytes_ = 0;
  std::size_t headerLines_ = 0;
  std::size_t bodyBytes_ = 0;
  std::size_t framingBytes_ = 0;   // of the body
  std::size_t unparsedLines_ = 0;  // of the header, in the buffer
};
}  // namespace zinccleat::proxy
