#include "crowd_cases.hpp"

namespace zinccleat::crowds {
namespace {
constexpr std::size_t kKb = 1024;
constexpr std::size_t kMb = 1024 * kKb;

/// Connections and bytes: few that send without end, or many that each hold a part of a message.
constexpr int kEndless = 10;
constexpr std::size_t kEndlessBytes = 16 * kMb;
constexpr int kMany = 400;
constexpr int kManyMore = 600;
constexpr int kBeyondDescriptors = 1200;
constexpr std::size_t kLargeBodyBytes = 1'000'000;
constexpr std::size_t kSmallBodyBytes = 60'000;
constexpr std::size_t kChunkBytes = 32 * kKb;
constexpr std::size_t kFiniteTrailerBytes = 200 * kKb;
constexpr std::size_t kHeaderFieldBytes = 14 * kKb;
constexpr std::size_t kAheadBodyBytes = 256 * kKb;
constexpr std::size_t kAheadBodies = 4;
constexpr std::size_t kDiscardedBytes = 256 * kMb;
/// Four times the largest body of a request, half of it for what the platform holds.
constexpr std::size_t kMaxTakenBytes = 16 * kMb;
constexpr std::size_t kOrdinaryBodyBytes = 20'000;
/// Less than the time after which a connection without a request is late in calm.
constexpr Duration kPlacesTakenTime{2500};

std::string requestLine(Port port) {
  switch (port) {
    case Port::control:
      return "POST /v1/Configuration.Replace HTTP/1.1\r\nHost: c\r\nX-Base-Version: 0\r\n";
    case Port::readiness:
      return "GET /v1/readiness HTTP/1.1\r\nHost: c\r\n";
    default:
      return "POST /safe/x HTTP/1.1\r\nHost: crowd.example\r\nX-Attempt-Id: c\r\n";
  }
}
std::string chunkedHeader(Port port) {
  return requestLine(port) + "Transfer-Encoding: chunked\r\n\r\n";
}
std::string headerWithLength(Port port, std::size_t length) {
  return requestLine(port) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}
std::string chunkOf(std::size_t bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}
CrowdPlan endless(std::string prefix, std::string repeated) {
  return {kEndless, {std::move(prefix), std::move(repeated), kEndlessBytes}};
}
/// A body with a length that stops one byte short of its end.
CrowdPlan shortBody(Port port, int connections, std::size_t length) {
  const auto header = headerWithLength(port, length);
  return {connections, {header, std::string(kKb, 'x'), header.size() + length - 1}};
}
CrowdPlan unfinishedHeaders(Port port) {
  return {kManyMore, {requestLine(port), {}, 0}};
}
/// Header fields that take far more memory than bytes, before a body that does not come.
CrowdPlan manyHeaderFields(Port port) {
  std::string header = requestLine(port) + "Content-Length: 2\r\n";
  for (std::size_t bytes = 0; bytes < kHeaderFieldBytes; bytes += 4)
    header += "a:\r\n";
  return {kMany, {header + "\r\nx", {}, 0}};
}
/// Whole requests with large bodies, one behind the other, whose answers are not read.
CrowdPlan bodiesSentAhead(Port port) {
  auto request = headerWithLength(port, kAheadBodyBytes) + std::string(kAheadBodyBytes, 'x');
  const auto bytes = kAheadBodies * request.size();
  return {kMany, {{}, std::move(request), bytes}};
}
/// Far more than any limit, in messages that are refused soon.
std::vector<CrowdCase> discardCases(Port port, const std::string& name) {
  const auto trailers = chunkedHeader(port) + chunkOf(1) + "0\r\n";
  const std::string field = "X-Trailer: " + std::string(100, 't') + "\r\n";
  const CrowdPlan refused{kEndless, {trailers, field, kDiscardedBytes}};
  const CrowdPlan emptyLines{kEndless, {{}, "\r\n", kDiscardedBytes}};
  return {
      {.name = name + "_refused_without_end", .crowds = {{port, refused}}, .maxTakenBytes = kMaxTakenBytes},
      {.name = name + "_empty_lines_without_end", .crowds = {{port, emptyLines}}, .maxTakenBytes = kMaxTakenBytes},
  };
}
/// Ordinary callers while a crowd has all places, or all memory for messages.
std::vector<CrowdCase> callerCases(Port port, const std::string& name) {
  return {
      {.name = name + "_places_taken",
       .crowds = {{port, unfinishedHeaders(port)}},
       .callers = {.firstAttemptAfter = kPlacesTakenTime}},
      {.name = name + "_memory_taken",
       .crowds = {{port, shortBody(port, kManyMore, kSmallBodyBytes)}},
       .callers = {.bodyBytes = kOrdinaryBodyBytes}},
  };
}
/// Requests whose large answers are not read.
CrowdPlan largeAnswersUnread() {
  const auto request = "POST " + std::string(kLargeAnswerPath) +
                       " HTTP/1.1\r\nHost: crowd.example\r\nX-Attempt-Id: c\r\nContent-Length: 0\r\n\r\n";
  return {kMany, {request, {}, 0}};
}
std::vector<CrowdCase> httpCases(Port port, const std::string& name) {
  const auto chunked = chunkedHeader(port);
  const auto trailers = chunked + chunkOf(1) + "0\r\n";
  const std::string field = "X-Trailer: " + std::string(100, 't') + "\r\n";
  return {
      {name + "_trailers_without_end", {{port, endless(trailers, field)}}},
      {name + "_trailer_field_without_end", {{port, endless(trailers + "X-Trailer: ", std::string(kKb, 't'))}}},
      {name + "_chunk_extension_without_end", {{port, endless(chunked + "1;", std::string(kKb, 'e'))}}},
      {name + "_chunk_size_without_end", {{port, endless(chunked, std::string(kKb, '0'))}}},
      {name + "_trailers_held", {{port, {kMany, {trailers, field, trailers.size() + kFiniteTrailerBytes}}}}},
      {name + "_large_bodies", {{port, shortBody(port, kMany, kLargeBodyBytes)}}},
      {name + "_small_bodies", {{port, shortBody(port, kManyMore, kSmallBodyBytes)}}},
      {name + "_large_chunks", {{port, {kMany, {chunked, chunkOf(kChunkBytes), kLargeBodyBytes}}}}},
      {name + "_small_chunks", {{port, {kMany, {chunked, chunkOf(1), kLargeBodyBytes}}}}},
      {name + "_unfinished_headers", {{port, unfinishedHeaders(port)}}},
      {name + "_many_header_fields", {{port, manyHeaderFields(port)}}},
      {name + "_unread_answers", {{port, {kMany, {{}, headerWithLength(port, 0), kFiniteTrailerBytes}}}}},
      {name + "_idle_connections", {{port, {kBeyondDescriptors, {}}}}},
  };
}
std::vector<CrowdCase> frameCases(Port port, const std::string& name) {
  const std::string header("\x01\xff\xff\xff\x04", 5);  // the length of a frame of 32 MB, and its format
  return {
      {name + "_large_frames", {{port, endless(header, std::string(kKb, 'f'))}}},
      {name + "_idle_connections", {{port, {kBeyondDescriptors, {}}}}},
  };
}
}  // namespace

std::vector<CrowdCase> allCases() {
  std::vector<CrowdCase> cases;
  const auto add = [&cases](const std::vector<CrowdCase>& more) {
    cases.insert(cases.end(), more.begin(), more.end());
  };
  add(httpCases(Port::access, "access"));
  add(httpCases(Port::control, "control"));
  add(httpCases(Port::readiness, "readiness"));
  add(frameCases(Port::agent, "agent"));
  add(frameCases(Port::consensus, "consensus"));
  add(frameCases(Port::coordination, "coordination"));
  add(frameCases(Port::counters, "counters"));
  const CrowdAtPort unfinished{Port::readiness, unfinishedHeaders(Port::readiness)};
  cases.push_back(
      {"both_small_bodies", {unfinished, {Port::access, shortBody(Port::access, kManyMore, kSmallBodyBytes)}}});
  cases.push_back({"both_large_bodies", {unfinished, {Port::access, shortBody(Port::access, kMany, kLargeBodyBytes)}}});
  for (const auto& [port, name] : {std::pair{Port::access, "access"}, {Port::control, "control"}}) {
    cases.push_back({.name = std::string(name) + "_bodies_sent_ahead", .crowds = {{port, bodiesSentAhead(port)}}});
    add(discardCases(port, name));
    add(callerCases(port, name));
  }
  cases.push_back(
      {.name = "readiness_bodies_sent_ahead", .crowds = {{Port::readiness, bodiesSentAhead(Port::readiness)}}});
  add(discardCases(Port::readiness, "readiness"));
  cases.push_back(
      {.name = "both_bodies_sent_ahead", .crowds = {unfinished, {Port::access, bodiesSentAhead(Port::access)}}});
  cases.push_back({.name = "access_large_answers_unread", .crowds = {{Port::access, largeAnswersUnread()}}});
  return cases;
}
}  // namespace zinccleat::crowds
