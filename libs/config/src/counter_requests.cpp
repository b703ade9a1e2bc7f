#include "config/counter_requests.hpp"

#include "config/json.hpp"

namespace zinccleat::config {
Result<IncrementRequest> parseIncrementRequest(std::string_view body) {
  JsonDocument document(body);
  JsonObject root;
  if (!document.object(root))
    return makeError(ErrorCode::invalidArgument, "tally is no JSON object");
  IncrementRequest request;
  JsonReader reader;
  reader.text(root, "instanceId", request.instanceId, Presence::required);
  reader.integer(root, "actor", request.amount, Presence::required);
  if (request.instanceId.empty() || request.instanceId.size() > kMaxInstanceIdBytes)
    reader.fail("1 to 128 bytes in", "instanceId");
  if (request.amount > kMaxIncrementAmount || request.amount < -kMaxIncrementAmount)
    reader.fail("at most 9007199254740991 in", "actor");
  if (!reader.ok())
    return makeError(ErrorCode::invalidArgument, "tally: " + reader.error());
  return request;
}
}  // namespace zinccleat::config
