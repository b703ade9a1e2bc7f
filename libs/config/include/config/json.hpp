/// Reads the fields of JSON objects into plain values, and reports the first invalid field in one message for an
/// operator.
///
/// A thin layer over simdjson's DOM. `JsonReader` records only the first error, so that a caller can read all fields
/// and check for an error once at the end. No function here throws.
#pragma once
#include <simdjson.h>

#include "runtime/common.hpp"
namespace zinccleat::config {
using JsonElement = simdjson::dom::element;
using JsonObject = simdjson::dom::object;
using JsonArray = simdjson::dom::array;

/// A JSON text together with its parser. Elements, objects and strings read from a document are views into the document
/// and must not outlive it.
class JsonDocument {
 public:
  explicit JsonDocument(std::string_view text) : text_(text) {}
  /// Parses the text.
  /// @param root set to the top-level value on success
  simdjson::error_code parse(JsonElement& root) { return parser_.parse(text_).get(root); }
  /// Parses the text, which must be an object.
  /// @return false if the text is not JSON or not an object
  bool object(JsonObject& root);
  /// Parses the text, which must be an object.
  /// @param subject the beginning of the error message including its verb, such as "settings are"
  /// @return the object, or `ErrorCode::invalidArgument`
  Result<JsonObject> parseObject(const std::string& subject);

 private:
  simdjson::dom::parser parser_;
  simdjson::padded_string text_;
};

/// Whether an object must have a field. An optional field that is `null` counts as absent.
enum class Presence { optional, required };

/// Reads fields of JSON objects and keeps the first error.
///
/// If a field is absent or has the wrong type, the output parameter keeps its value, so callers set defaults first.
/// Unknown fields are ignored.
class JsonReader {
 public:
  /// The first error, one line without a full stop; empty if there is no error.
  const std::string& error() const { return error_; }
  bool ok() const { return error_.empty(); }
  /// Records the error "<problem> '<name>'", unless an earlier error is recorded.
  void fail(std::string_view problem, std::string_view name);

  /// Whether an object has a field, even if the field is `null`.
  static bool contains(const JsonObject& object, std::string_view key);
  void text(const JsonObject& object, std::string_view key, std::string& out, Presence presence = Presence::optional);
  void number(const JsonObject& object, std::string_view key, double& out, Presence presence = Presence::optional);
  void boolean(const JsonObject& object, std::string_view key, bool& out);
  /// Reads an integer. A number whose fractional part is zero (`7.0`) is accepted as an integer.
  template <class Integer>
  void integer(const JsonObject& object, std::string_view key, Integer& out, Presence presence = Presence::optional) {
    if (const auto value = readInteger(object, key, presence))
      out = static_cast<Integer>(*value);
  }
  /// Reads a duration given in milliseconds. A negative number counts as absent.
  void milliseconds(const JsonObject& object, std::string_view key, Duration& out);
  /// Reads a duration given in seconds. A negative number counts as absent.
  void seconds(const JsonObject& object, std::string_view key, Duration& out);
  /// @return false if `out` was not set because the field is absent or not an object
  bool object(const JsonObject& object, std::string_view key, JsonObject& out, Presence presence = Presence::optional);
  /// @return false if `out` was not set because the field is absent or not an array
  bool array(const JsonObject& object, std::string_view key, JsonArray& out, Presence presence = Presence::optional);

 private:
  bool find(const JsonObject& object, std::string_view key, JsonElement& out, Presence presence);
  template <class Value>
  bool read(const JsonObject& object, std::string_view key, Value& out, std::string_view problem, Presence presence);
  std::optional<std::int64_t> readInteger(const JsonObject& object, std::string_view key, Presence presence);
  void duration(const JsonObject& object, std::string_view key, Duration& out, Duration unit);

  std::string error_;
};
}  // namespace zinccleat::config
