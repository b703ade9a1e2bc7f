#include "config/coordination_requests.hpp"

#include <charconv>

#include "config/json.hpp"

namespace zinccleat::config {
namespace {
constexpr std::int64_t kNoRevision = -1;

tl::unexpected<Error> invalid(const std::string& problem) {
  return makeError(ErrorCode::invalidArgument, problem);
}
Result<std::int64_t> parseCount(std::string_view text, std::string_view name) {
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end || value < 0)
    return invalid("watch: no number from 0 on in '" + std::string(name) + "'");
  return value;
}
}  // namespace

Result<void> checkName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes)
    return invalid("a name has 1 to 256 bytes");
  return {};
}
Result<LockRequest> parseLockRequest(std::string_view body, LockFields required) {
  JsonDocument document(body);
  JsonObject root;
  if (!document.object(root))
    return invalid("lock is no JSON object");
  LockRequest request;
  JsonReader reader;
  reader.text(root, "holder", request.holder, Presence::required);
  if (required.fence)
    reader.integer(root, "fenceNumber", request.fence, Presence::required);
  if (required.hold)
    reader.integer(root, "holdMs", request.holdMs, Presence::required);
  if (request.holder.empty() || request.holder.size() > kMaxNameBytes)
    reader.fail("1 to 256 bytes in", "holder");
  if (required.hold && (request.holdMs < 1 || request.holdMs > kMaxHoldMs))
    reader.fail("1 to 3600000 in", "holdMs");
  if (!reader.ok())
    return invalid("lock: " + reader.error());
  return request;
}
Result<PutRequest> parsePutRequest(std::string_view body) {
  JsonDocument document(body);
  JsonObject root;
  if (!document.object(root))
    return invalid("cell is no JSON object");
  PutRequest request;
  JsonReader reader;
  reader.text(root, "value", request.value, Presence::required);
  std::int64_t appliesTo = kNoRevision;
  reader.integer(root, "appliesTo", appliesTo);
  if (request.value.size() > kMaxValueBytes)
    reader.fail("at most 4096 bytes in", "value");
  if (appliesTo < kNoRevision)
    reader.fail("no revision in", "appliesTo");
  if (!reader.ok())
    return invalid("cell: " + reader.error());
  if (appliesTo != kNoRevision)
    request.appliesTo = appliesTo;
  return request;
}
Result<WatchRequest> parseWatchRequest(std::string_view query) {
  WatchRequest request;
  while (!query.empty()) {
    const auto field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), field.size() + 1));
    const auto equals = field.find('=');
    if (equals == std::string_view::npos)
      continue;
    const auto name = field.substr(0, equals);
    if (name != "after" && name != "waitMs")
      continue;
    const auto value = parseCount(field.substr(equals + 1), name);
    if (!value)
      return tl::unexpected(value.error());
    (name == "after" ? request.after : request.waitMs) = *value;
  }
  if (request.waitMs > kMaxWaitMs)
    return invalid("watch: 0 to 60000 in 'waitMs'");
  return request;
}
}  // namespace zinccleat::config
