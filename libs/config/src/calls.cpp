#include "config/calls.hpp"

#include <cstdio>

#include "config/json.hpp"

namespace zc {
Outcome<Beat> parseBeat(std::string_view id, std::string_view text) {
  json::Text doc(text);
  json::Obj o;
  if (!doc.object(o))
    return fault(400, "heartbeat is no JSON object");
  json::Reader r;
  Beat b;
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
    return fault(400, "heartbeat: " + r.wrong);
  if (b.id.empty())
    return fault(400, "heartbeat without an id");
  return b;
}
Outcome<ClosureCall> parseClosure(std::string_view text) {
  json::Text doc(text);
  json::Obj o;
  if (!doc.object(o))
    return fault(400, "closure is no JSON object");
  json::Reader r;
  ClosureCall c;
  r.text(o, "place", c.place, true);
  r.text(o, "note", c.note);
  r.whole(o, "share", c.share);
  r.flag(o, "doorsShut", c.doorsShut);
  r.flag(o, "open", c.open);
  r.flag(o, "force", c.force);
  r.num(o, "calmBelowPerS", c.calmBelowPerS);
  if (c.share < 0 || c.share > 100)
    r.blame("no percentage in", "share");
  if (!r.wrong.empty())
    return fault(400, "closure: " + r.wrong);
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
}  // namespace zc
