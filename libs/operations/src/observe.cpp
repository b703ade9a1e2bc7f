#include "operations/observe.hpp"

#include <simdjson.h>

#include <cstdlib>
#include <sstream>

namespace zinccleat::operations {
namespace {
using Elem = simdjson::dom::element;
std::string textOf(Elem e) {
  std::string_view s;
  if (!e.get(s))
    return std::string(s);
  std::ostringstream out;
  out << simdjson::minify(e);
  return out.str();
}
bool number(const std::string& s, double& out) {
  char* end = nullptr;
  out = std::strtod(s.c_str(), &end);
  return !s.empty() && end && *end == 0;
}
}  // namespace
Result<Observation> parseObservation(std::string_view text) {
  std::istringstream in{std::string(text)};
  std::string many;
  Observation o;
  in >> many;
  if (many == "any" || many == "all" || many == "one") {
    o.howMany = many == "any"   ? Observation::HowMany::any
                : many == "all" ? Observation::HowMany::all
                                : Observation::HowMany::one;
    in >> o.field;
  } else {
    o.field = many;
  }
  in >> o.op;
  std::getline(in >> std::ws, o.value);
  for (auto known : {"==", "!=", "<", "<=", ">", ">=", "has"})
    if (o.op == known && !o.field.empty() && !o.value.empty())
      return o;
  return makeError(ErrorCode::unavailable, "no observation: '" + std::string(text) + "'");
}
std::optional<std::string> fieldOf(std::string_view json, std::string_view field) {
  simdjson::dom::parser parser;
  simdjson::padded_string padded(json);
  Elem at;
  if (parser.parse(padded).get(at))
    return std::nullopt;
  while (!field.empty()) {
    // A dot inside brackets belongs to the value looked for.
    std::size_t dot = 0;
    int depth = 0;
    for (; dot < field.size() && (field[dot] != '.' || depth > 0); ++dot) {
      if (field[dot] == '[')
        ++depth;
      else if (field[dot] == ']')
        --depth;
    }
    auto seg = field.substr(0, dot);
    field.remove_prefix(std::min(field.size(), dot + 1));
    const bool count = !seg.empty() && seg.back() == '#';
    if (count)
      seg.remove_suffix(1);
    std::string_view key;
    std::string_view value;
    if (const auto b = seg.find('['); b != seg.npos && seg.back() == ']') {
      const auto inner = seg.substr(b + 1, seg.size() - b - 2);
      const auto eq = inner.find('=');
      if (eq == inner.npos)
        return std::nullopt;
      key = inner.substr(0, eq);
      value = inner.substr(eq + 1);
      seg = seg.substr(0, b);
    }
    simdjson::dom::object o;
    if (at.get(o) || o.at_key(seg).get(at))
      return std::nullopt;
    simdjson::dom::array list;
    if (count) {
      if (at.get(list))
        return std::nullopt;
      return std::to_string(list.size());
    }
    if (!key.empty()) {
      if (at.get(list))
        return std::nullopt;
      bool found = false;
      for (auto e : list) {
        simdjson::dom::object x;
        Elem v;
        if (!e.get(x) && !x.at_key(key).get(v) && textOf(v) == value) {
          at = e;
          found = true;
          break;
        }
      }
      if (!found)
        return std::nullopt;
    }
  }
  return textOf(at);
}
bool meets(const Observation& o, const std::vector<std::string>& answers) {
  std::size_t n = 0;
  for (auto& a : answers) {
    const auto got = fieldOf(a, o.field);
    bool ok = false;
    double x = 0;
    double y = 0;
    if (!got)
      ok = o.op == "!=";
    else if (o.op == "==")
      ok = *got == o.value;
    else if (o.op == "!=")
      ok = *got != o.value;
    else if (o.op == "has")
      ok = got->find(o.value) != std::string::npos;
    else if (number(*got, x) && number(o.value, y))
      ok = o.op == "<" ? x < y : o.op == "<=" ? x <= y : o.op == ">" ? x > y : x >= y;
    if (ok)
      ++n;
  }
  if (o.howMany == Observation::HowMany::any)
    return n > 0;
  if (o.howMany == Observation::HowMany::one)
    return n == 1;
  return n == answers.size() && n > 0;
}
std::string seen(const Observation& o, const std::vector<std::string>& answers) {
  std::string s;
  for (auto& a : answers)
    s += (s.empty() ? "" : ", ") + fieldOf(a, o.field).value_or("nothing");
  return s.empty() ? "no answer" : s;
}
}  // namespace zinccleat::operations
