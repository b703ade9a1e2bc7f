/// @file
/// Writes JSON objects and arrays as text.
#pragma once
#include "config/control_requests.hpp"
namespace zinccleat::controller {
/// One JSON object; its fields keep the order in which they are added.
class JsonObject {
 public:
  /// Adds a value that is already encoded as JSON.
  JsonObject& raw(std::string_view name, std::string_view json) {
    text_ += text_.empty() ? "\"" : ",\"";
    text_.append(name).append("\":").append(json);
    return *this;
  }
  JsonObject& text(std::string_view name, std::string_view value) { return raw(name, config::quoteJson(value)); }
  JsonObject& flag(std::string_view name, bool value) { return raw(name, value ? "true" : "false"); }
  /// Adds a number, formatted by `std::to_string`.
  template <class Number>
  JsonObject& number(std::string_view name, Number value) {
    return raw(name, std::to_string(value));
  }
  /// Returns the object as text.
  std::string json() const { return "{" + text_ + "}"; }

 private:
  std::string text_;
};
/// Returns a JSON array.
/// @param elements values that are already encoded as JSON.
std::string jsonArray(const std::vector<std::string>& elements);
/// Returns a JSON array of strings.
std::string jsonTexts(const std::vector<std::string>& texts);
}  // namespace zinccleat::controller
