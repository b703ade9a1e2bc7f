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
  return cases;
}
}  // namespace zinccleat::crowds
