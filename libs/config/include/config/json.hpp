/// Reading JSON objects field by field into plain values, with one message for an operator about what is wrong.
///
/// A thin layer over simdjson's DOM. `JsonReader` collects only the first error, so that a caller reads all fields in a
/// row and asks once at the end. Nothing here throws.
#pragma once
#include <simdjson.h>

#include "runtime/common.hpp"
namespace zinccleat::config {
using JsonElement = simdjson::dom::element;
using JsonObject = simdjson::dom::object;
using JsonArray = simdjson::dom::array;

/// A JSON text together with its parser. Elements, objects and strings read from it are views into it and must not be
/// used after its end.
class JsonDocument {
 public:
  explicit JsonDocument(std::string_view text) : text_(text) {}
  /// Parses the text.
  /// @param root set to the outermost value on success
  simdjson::error_code parse(JsonElement& root) { return parser_.parse(text_).get(root); }
  /// Parses the text, which must be an object.
  /// @return false if it is not JSON or not an object
  bool object(JsonObject& root);
  /// Parses the text, which must be an object.
  /// @param subject how the error message begins, with its verb: "settings are"
  /// @return the object, or `ErrorCode::invalidArgument`
  Result<JsonObject> parseObject(const std::string& subject);

 private:
  simdjson::dom::parser parser_;
  simdjson::padded_string text_;
};

/// Whether an object must have a field. An optional field that is `null` counts as left out.
enum class Presence { optional, required };

/// Reads fields of JSON objects and keeps the first error.
///
/// A field that is left out, or of the wrong type, leaves its output as it was; so defaults are set beforehand. Unknown
/// fields are ignored.
class JsonReader {
 public:
  /// The first error, one line without a full stop; empty if there was none.
  const std::string& error() const { return error_; }
  bool ok() const { return error_.empty(); }
  /// Records "<problem> '<name>'", unless an error is recorded already.
  void fail(std::string_view problem, std::string_view name);

  void text(const JsonObject& object, std::string_view key, std::string& out, Presence presence = Presence::optional);
  void number(const JsonObject& object, std::string_view key, double& out, Presence presence = Presence::optional);
  void boolean(const JsonObject& object, std::string_view key, bool& out);
  /// Reads an integer; a number with a fraction of zero (`7.0`) counts as one.
  template <class Integer>
  void integer(const JsonObject& object, std::string_view key, Integer& out, Presence presence = Presence::optional) {
    if (const auto value = readInteger(object, key, presence))
      out = static_cast<Integer>(*value);
  }
  /// Reads a duration given in milliseconds. A negative one counts as left out.
  void milliseconds(const JsonObject& object, std::string_view key, Duration& out);
  /// Reads a duration given in seconds. A negative one counts as left out.
  void seconds(const JsonObject& object, std::string_view key, Duration& out);
  /// @return false if `out` was not set: the field is left out or no object
  bool object(const JsonObject& object, std::string_view key, JsonObject& out, Presence presence = Presence::optional);
  /// @return false if `out` was not set: the field is left out or no list
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
