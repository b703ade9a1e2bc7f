#include "config/calls.hpp"

#include <cstdio>

#include "config/json.hpp"

namespace zinccleat::config {
Result<RunnerHeartbeat> parseRunnerHeartbeat(std::string_view id, std::string_view text) {
  json::Text doc(text);
  json::Obj o;
  if (!doc.object(o))
    return makeError(ErrorCode::invalidArgument, "heartbeat is no JSON object");
  json::Reader r;
  RunnerHeartbeat b;
  b.id = std::string(id);
  std::string state;
  r.text(o, "targetService", b.service, true);
  r.text(o, "address", b.address, true);
  r.text(o, "zone", b.zone);
  r.text(o, "state", state);
  r.whole(o, "capacity", b.capacity);
  r.whole(o, "sequence", b.sequence);
  r.whole(o, "warmupLeftMs", b.warmupLeftMs);
  b.draining = state == "draining";
  if (!r.wrong.empty())
    return makeError(ErrorCode::invalidArgument, "heartbeat: " + r.wrong);
  if (b.id.empty())
    return makeError(ErrorCode::invalidArgument, "heartbeat without an id");
  return b;
}
Result<ZoneDrainCall> parseZoneDrainCall(std::string_view text) {
  json::Text doc(text);
  json::Obj o;
  if (!doc.object(o))
    return makeError(ErrorCode::invalidArgument, "closure is no JSON object");
  json::Reader r;
  ZoneDrainCall c;
  r.text(o, "place", c.place, true);
  r.text(o, "note", c.note);
  r.whole(o, "share", c.share);
  r.flag(o, "doorsShut", c.notAccepting);
  r.flag(o, "open", c.open);
  r.flag(o, "force", c.force);
  r.num(o, "calmBelowPerS", c.calmBelowPerS);
  if (c.share < 0 || c.share > 100)
    r.blame("no percentage in", "share");
  if (!r.wrong.empty())
    return makeError(ErrorCode::invalidArgument, "closure: " + r.wrong);
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
