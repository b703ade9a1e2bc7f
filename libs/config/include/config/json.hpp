#pragma once
#include <simdjson.h>

#include "runtime/common.hpp"
namespace zinccleat::config {
using JsonElement = simdjson::dom::element;
using JsonObject = simdjson::dom::object;
using JsonArray = simdjson::dom::array;
// A text with its parser, which must outlive whatever was read from it.
struct JsonDocument {
  simdjson::dom::parser parser;
  simdjson::padded_string padded;
  explicit JsonDocument(std::string_view s) : padded(s) {}
  bool object(JsonObject& out) {
    JsonElement doc;
    return !parser.parse(padded).get(doc) && !doc.get(out);
  }
};
// Readers that keep the first complaint; a field left out keeps its default.
struct JsonReader {
  std::string error;
  void fail(std::string_view what, std::string_view k) {
    if (error.empty())
      error = std::string(what) + " '" + std::string(k) + "'";
  }
  bool find(const JsonObject& o, std::string_view k, JsonElement& out, bool required) {
    if (o.at_key(k).get(out) == simdjson::SUCCESS)
      return !(out.is_null() && !required);
    if (required)
      fail("missing field", k);
    return false;
  }
  void text(const JsonObject& o, std::string_view k, std::string& out, bool required = false) {
    JsonElement e;
    if (!find(o, k, e, required))
      return;
    std::string_view v;
    if (e.get(v))
      fail("no text in", k);
    else
      out = std::string(v);
  }
  void number(const JsonObject& o, std::string_view k, double& out, bool required = false) {
    JsonElement e;
    if (!find(o, k, e, required))
      return;
    if (e.get(out))
      fail("no number in", k);
  }
  template <class I>
  void integer(const JsonObject& o, std::string_view k, I& out, bool required = false) {
    JsonElement e;
    if (!find(o, k, e, required))
      return;
    std::int64_t v = 0;
    double d = 0;
    if (!e.get(v))
      out = static_cast<I>(v);
    else if (!e.get(d) && d >= -9e15 && d <= 9e15 && d == static_cast<double>(static_cast<std::int64_t>(d)))
      out = static_cast<I>(d);
    else
      fail("no whole number in", k);
  }
  void boolean(const JsonObject& o, std::string_view k, bool& out) {
    JsonElement e;
    if (!find(o, k, e, false))
      return;
    if (e.get(out))
      fail("no true or false in", k);
  }
  void milliseconds(const JsonObject& o, std::string_view k, Duration& out, double unit = 1) {
    double d = -1;
    number(o, k, d);
    if (d >= 0)
      out = Duration(static_cast<std::int64_t>(d * unit));
  }
  bool object(const JsonObject& o, std::string_view k, JsonObject& out, bool required = false) {
    JsonElement e;
    if (!find(o, k, e, required))
      return false;
    if (e.get(out)) {
      fail("no object in", k);
      return false;
    }
    return true;
  }
  bool array(const JsonObject& o, std::string_view k, JsonArray& out, bool required = false) {
    JsonElement e;
    if (!find(o, k, e, required))
      return false;
    if (e.get(out)) {
      fail("no list in", k);
      return false;
    }
    return true;
  }
};
}  // namespace zinccleat::config
