#include "upstream_response.hpp"

#include "headers.hpp"

namespace zinccleat::proxy {
namespace {
constexpr std::uint64_t kMaxResponseBytes = 64U << 20;
constexpr int kMaxUnrelatedResponses = 2;  // responses to other attempts that are skipped
constexpr std::uint64_t kMaxUnrelatedResponseBytes = std::uint64_t{256} * 1024;
constexpr int kMaxInterimResponses = 16;
constexpr auto kDefaultKeepAlive = 20s;   // used if the runner's response has no `Keep-Alive` timeout
constexpr auto kKeepAliveMargin = 700ms;  // the runner must not close a connection that was just reused
constexpr std::int64_t kMsPerS = 1000;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirectedRequest = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;
}  // namespace

bool promisesNotExecuted(unsigned status) {
  return status == kRequestTimeout || status == kMisdirectedRequest || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

bool isNotExecuted(const http::response_header<>& header) {
  return header.count("X-Not-Executed") > 0 || header.result_int() == kMisdirectedRequest;
}

bool isSealed(const http::response_header<>& header) {
  return !headerValue(header, "X-Server-Seal").empty() && header.count(http::field::content_encoding) == 0;
}

bool belongsTo(const http::response_header<>& header, std::string_view attemptId) {
  return headerValue(header, "X-Attempt-Id") == attemptId;
}

TimePoint reusableUntil(const http::response_header<>& header, TimePoint now) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto keepAlive = headerValue(header, "Keep-Alive");
  const auto parameter = keepAlive.find(kTimeout);
  if (parameter == keepAlive.npos)
    return now + kDefaultKeepAlive;
  auto seconds = keepAlive.substr(parameter + kTimeout.size());
  seconds = seconds.substr(0, seconds.find_first_not_of("0123456789"));
  return now + Duration(parseNumber(seconds, 1) * kMsPerS) - kKeepAliveMargin;
}

void configureParser(ResponseParser& parser) {
  parser.eager(true);
  parser.body_limit(kMaxResponseBytes);
}

runtime::SocketError readFinalHeader(runtime::Connection& upstream, Buffer& buffer,
                                     std::optional<ResponseParser>& parser, http::verb request,
                                     std::string_view attemptId) {
  runtime::SocketError ec;
  int unrelatedResponses = 0;
  int interimResponses = 0;
  for (;;) {
    parser.emplace();
    configureParser(*parser);
    if (request == http::verb::head)
      parser->skip(true);
    readIntoParser(upstream, buffer, *parser, true, ec);
    if (ec)
      return ec;
    if (isInterim(parser->get().result_int())) {
      if (++interimResponses <= kMaxInterimResponses)
        continue;
      return make_error_code(http::error::bad_status);
    }
    if (belongsTo(parser->get(), attemptId) || unrelatedResponses++ >= kMaxUnrelatedResponses)
      return {};
    // This is a response to an earlier request on the connection. It is read to its end and discarded.
    if (parser->content_length().value_or(0) > kMaxUnrelatedResponseBytes)
      return make_error_code(http::error::body_limit);
    parser->body_limit(kMaxUnrelatedResponseBytes);
    readIntoParser(upstream, buffer, *parser, false, ec);
    if (ec)
      return ec;
  }
}
}  // namespace zinccleat::proxy
