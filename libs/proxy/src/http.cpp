#include "proxy/http.hpp"

#include <array>

#include "config/control_requests.hpp"

namespace zinccleat::proxy {
namespace {
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kTypicalHeaderBytes = 160;
constexpr auto kRejectTimeout = 500ms;
constexpr std::size_t kDiscardReadBytes = 2048;
constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} << 20;

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

/// Reads one request; see `readRequest`.
class RequestReader {
 public:
  /// @param served  the accepted connection that owns `connection`; null: memory is not accounted for
  RequestReader(runtime::Connection& connection, runtime::ServedConnection* served, Buffer& buffer,
                RequestParser& parser, const ReadLimits& limits)
      : connection_(connection),
        served_(served),
        parser_(parser),
        limits_(limits),
        feed_(connection, buffer, parser, limits.header) {}

  ReadResult read() {
    parser_.header_limit(static_cast<std::uint32_t>(limits_.header));
    parser_.body_limit(limits_.body);
    parser_.eager(false);  // the body is parsed only after its memory is reserved
    connection_.setDeadline(Clock::now() + limits_.headerTime);
    readHeader();
    if (!ec_ && !parser_.is_done())
      readBody();
    if (!ec_ && !reserveTrailerFields())
      ec_ = asio::error::no_buffer_space;
    if (headerOfChunked_)
      parser_.get().base() = std::move(*headerOfChunked_);
    const bool timedOut = connection_.deadlineExceeded();
    connection_.clearDeadline();
    return resultOf(timedOut);
  }

 private:
  void readHeader() {
    feed_.run(
        true, [this] { return reserve(uncharged(feed_.headerMemory())); }, ec_);
    // If the final transfer coding is not chunked, the end of the body is unknown. The following bytes must not be read
    // as another request, so the request is rejected.
    if (!ec_ && !parser_.chunked() && parser_.get().count(http::field::transfer_encoding))
      ec_ = http::error::bad_transfer_encoding;
  }
  void readBody() {
    connection_.clearDeadline();
    if (served_)
      served_->enter(runtime::ConnectionPhase::receivingBody);
    const auto length = parser_.content_length();
    if (!reserve(messageMemory(length.value_or(0), length.value_or(0)))) {
      ec_ = asio::error::no_buffer_space;
      return;
    }
    if (served_)
      served_->prepareToRead(length.value_or(0));
    if (parser_.chunked())
      headerOfChunked_ = parser_.get().base();
    parser_.eager(true);
    connection_.setDeadline(Clock::now() + limits_.bodyTime);
    sendContinue();
    if (!ec_)
      feed_.run(
          false, [this] { return reserve(bodyMemory()); }, ec_);
  }
  // What has to be reserved for a body that takes `now` bytes and will take up to `later` bytes. A small request fits
  // into the fixed charge as a whole, so that it does not depend on what others hold.
  std::size_t messageMemory(std::size_t now, std::size_t later) const {
    const auto header = feed_.headerMemory() + (parser_.chunked() ? feed_.parsedHeaderMemory() : 0);
    return uncharged(header + now) == 0 ? 0 : uncharged(header) + later;
  }
  std::size_t bodyMemory() const {
    if (const auto length = parser_.content_length())
      return messageMemory(*length, *length);
    return messageMemory(2 * parser_.get().body().size(), feed_.growingBodyMemory());
  }
  // A client that sends `Expect: 100-continue` waits for this interim response before it sends the body.
  void sendContinue() {
    if (parser_.get().count(http::field::expect))
      connection_.write(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ec_);
  }
  bool reserveTrailerFields() {
    if (!parser_.chunked())
      return true;
    feed_.countTrailerFields();
    // Without a wait, because the fields are held already.
    return !served_ || served_->reserve(bodyMemory(), Duration(0));
  }
  bool reserve(std::size_t bytes) { return !served_ || served_->reserve(bytes, limits_.memoryTime); }
  ReadResult resultOf(bool timedOut) const {
    if (ec_ == asio::error::no_buffer_space)
      return {ReadOutcome::rejected, kServiceUnavailable};
    if (!ec_)
      return {ReadOutcome::complete, 0};
    if (timedOut)
      return {ReadOutcome::rejected, kRequestTimeout};
    if (isProtocolError(ec_))
      return {ReadOutcome::rejected, statusOf(ec_)};
    return {ReadOutcome::closed, 0};
  }

  runtime::Connection& connection_;
  runtime::ServedConnection* served_;
  RequestParser& parser_;
  const ReadLimits& limits_;
  MessageFeed<RequestParser> feed_;
  std::optional<http::request_header<>> headerOfChunked_;  // without the fields of a trailer section
  runtime::SocketError ec_;
};
}  // namespace

bool awaitRequest(runtime::Connection& connection, Buffer& buffer, Duration idle) {
  if (buffer.size() > 0)
    return true;
  if (buffer.capacity() > kReadBytes)
    buffer.shrink_to_fit();  // a long header has made it grow
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

ReadResult readRequest(runtime::ServedConnection& served, Buffer& buffer, RequestParser& parser,
                       const ReadLimits& limits) {
  if (!awaitRequest(served.connection(), buffer, limits.idle))
    return {ReadOutcome::closed, 0};
  served.enter(runtime::ConnectionPhase::receiving);
  const auto result = RequestReader(served.connection(), &served, buffer, parser, limits).read();
  served.enter(runtime::ConnectionPhase::serving);
  return result;
}
ReadResult readRequest(runtime::Connection& connection, Buffer& buffer, RequestParser& parser,
                       const ReadLimits& limits) {
  if (!awaitRequest(connection, buffer, limits.idle))
    return {ReadOutcome::closed, 0};
  return RequestReader(connection, nullptr, buffer, parser, limits).read();
}

void rejectRequest(runtime::Connection& connection, int status, const ReadLimits& limits) {
  runtime::SocketError ec;
  connection.setDeadline(Clock::now() + kRejectTimeout);
  const auto body = jsonError(reasonPhrase(status));
  connection.write(asio::buffer(plainResponse(status, "", "application/json", body, false)), ec);
  // Closing a connection with unread bytes resets it, and the client would lose the response.
  connection.socket().shutdown(tcp::socket::shutdown_send, ec);
  std::array<char, kDiscardReadBytes> discarded{};
  connection.setDeadline(Clock::now() + kRejectTimeout);
  for (auto rest = std::min(limits.header + limits.body, kMaxDiscardedBytes); !ec && rest > 0;)
    rest -= std::min(rest, connection.read(asio::buffer(discarded), ec));
}

std::string_view reasonPhrase(int status) {
  return http::obsolete_reason(static_cast<http::status>(status));
}

std::string plainResponseHeader(int status, std::string_view extraHeaders, std::string_view contentType,
                                std::size_t bodyBytes, bool keepAlive) {
  std::string header;
  header.reserve(kTypicalHeaderBytes + extraHeaders.size());
  header += "HTTP/1.1 " + std::to_string(status) + " ";
  header += reasonPhrase(status);
  header += "\r\n";
  header += extraHeaders;
  if (bodyBytes > 0) {
    header += "Content-Type: ";
    header += contentType;
    header += "\r\n";
  }
  header += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
  if (!keepAlive)
    header += "Connection: close\r\n";
  header += "\r\n";
  return header;
}
std::string plainResponse(int status, std::string_view extraHeaders, std::string_view contentType,
                          std::string_view body, bool keepAlive) {
  auto response = plainResponseHeader(status, extraHeaders, contentType, body.size(), keepAlive);
  response += body;
  return response;
}

std::string jsonError(std::string_view text) {
  return "{\"error\":" + config::quoteJson(text) + "}";
}
}  // namespace zinccleat::proxy
