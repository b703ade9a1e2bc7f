#pragma once
#include <simdjson.h>

#include "runtime/common.hpp"
namespace zinccleat::json {
using Elem = simdjson::dom::element;
using Obj = simdjson::dom::object;
using Arr = simdjson::dom::array;
// A text with its parser, which must outlive whatever was read from it.
struct Text {
  simdjson::dom::parser parser;
  simdjson::padded_string padded;
  explicit Text(std::string_view s) : padded(s) {}
  bool object(Obj& out) {
    Elem doc;
    return !parser.parse(padded).get(doc) && !doc.get(out);
  }
};
// Readers that keep the first complaint; a field left out keeps its default.
struct Reader {
  std::string wrong;
  void blame(std::string_view what, std::string_view k) {
    if (wrong.empty())
      wrong = std::string(what) + " '" + std::string(k) + "'";
  }
  bool find(const Obj& o, std::string_view k, Elem& out, bool need) {
    if (o.at_key(k).get(out) == simdjson::SUCCESS)
      return !(out.is_null() && !need);
    if (need)
      blame("missing field", k);
    return false;
  }
  void text(const Obj& o, std::string_view k, std::string& out, bool need = false) {
    Elem e;
    if (!find(o, k, e, need))
      return;
    std::string_view v;
    if (e.get(v))
      blame("no text in", k);
    else
      out = std::string(v);
  }
  void num(const Obj& o, std::string_view k, double& out, bool need = false) {
    Elem e;
    if (!find(o, k, e, need))
      return;
    if (e.get(out))
      blame("no number in", k);
  }
  template <class I>
  void whole(const Obj& o, std::string_view k, I& out, bool need = false) {
    Elem e;
    if (!find(o, k, e, need))
      return;
    std::int64_t v = 0;
    double d = 0;
    if (!e.get(v))
      out = static_cast<I>(v);
    else if (!e.get(d) && d >= -9e15 && d <= 9e15 && d == static_cast<double>(static_cast<std::int64_t>(d)))
      out = static_cast<I>(d);
    else
      blame("no whole number in", k);
  }
  void flag(const Obj& o, std::string_view k, bool& out) {
    Elem e;
    if (!find(o, k, e, false))
      return;
    if (e.get(out))
      blame("no true or false in", k);
  }
  void ms(const Obj& o, std::string_view k, Duration& out, double unit = 1) {
    double d = -1;
    num(o, k, d);
    if (d >= 0)
      out = Duration(static_cast<std::int64_t>(d * unit));
  }
  bool object(const Obj& o, std::string_view k, Obj& out, bool need = false) {
    Elem e;
    if (!find(o, k, e, need))
      return false;
    if (e.get(out)) {
      blame("no object in", k);
      return false;
    }
    return true;
  }
  bool array(const Obj& o, std::string_view k, Arr& out, bool need = false) {
    Elem e;
    if (!find(o, k, e, need))
      return false;
    if (e.get(out)) {
      blame("no list in", k);
      return false;
    }
    return true;
  }
};
}  // namespace zinccleat::json
