#include "config/control_requests.hpp"

#include <cstdio>

#include "config/json.hpp"

namespace zinccleat::config {
Result<RunnerHeartbeat> parseRunnerHeartbeat(std::string_view id, std::string_view text) {
  JsonDocument doc(text);
  JsonObject o;
  if (!doc.object(o))
    return makeError(ErrorCode::invalidArgument, "heartbeat is no JSON object");
  JsonReader r;
  RunnerHeartbeat b;
  b.id = std::string(id);
  std::string state;
  r.text(o, "targetService", b.service, true);
  r.text(o, "address", b.address, true);
  r.text(o, "zone", b.zone);
  r.text(o, "state", state);
  r.integer(o, "capacity", b.capacity);
  r.integer(o, "sequence", b.sequence);
  r.integer(o, "warmupLeftMs", b.warmupLeftMs);
  b.draining = state == "draining";
  if (!r.error.empty())
    return makeError(ErrorCode::invalidArgument, "heartbeat: " + r.error);
  if (b.id.empty())
    return makeError(ErrorCode::invalidArgument, "heartbeat without an id");
  return b;
}
Result<ZoneDrainRequest> parseZoneDrainRequest(std::string_view text) {
  JsonDocument doc(text);
  JsonObject o;
  if (!doc.object(o))
    return makeError(ErrorCode::invalidArgument, "closure is no JSON object");
  JsonReader r;
  ZoneDrainRequest c;
  r.text(o, "place", c.zone, true);
  r.text(o, "note", c.note);
  r.integer(o, "share", c.drainPercent);
  r.boolean(o, "doorsShut", c.notAccepting);
  r.boolean(o, "open", c.open);
  r.boolean(o, "force", c.force);
  r.number(o, "calmBelowPerS", c.calmBelowPerS);
  if (c.drainPercent < 0 || c.drainPercent > 100)
    r.fail("no percentage in", "share");
  if (!r.error.empty())
    return makeError(ErrorCode::invalidArgument, "closure: " + r.error);
  return c;
}
std::string quoteJson(std::string_view s) {
  std::string out = "\"";
  for (char c : s) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char b[8];
      std::snprintf(b, sizeof b, "\\u%04x", c);
      out += b;
    } else {
      out += c;
    }
  }
  return out + "\"";
}
}  // namespace zinccleat::config
