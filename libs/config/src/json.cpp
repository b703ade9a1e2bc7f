#include "config/json.hpp"

namespace zinccleat::config {
namespace {
// A double represents every integer up to 2^53 (about 9.007e15) exactly; this bound is slightly below.
constexpr double kMaxExactInteger = 9e15;

std::optional<std::int64_t> exactInteger(double value) {
  if (value < -kMaxExactInteger || value > kMaxExactInteger)
    return std::nullopt;
  const auto integer = static_cast<std::int64_t>(value);
  if (static_cast<double>(integer) != value)
    return std::nullopt;
  return integer;
}
}  // namespace

bool JsonDocument::object(JsonObject& root) {
  JsonElement element;
  return parse(element) == simdjson::SUCCESS && element.get(root) == simdjson::SUCCESS;
}
Result<JsonObject> JsonDocument::parseObject(const std::string& subject) {
  JsonElement element;
  if (const auto failure = parse(element))
    return makeError(ErrorCode::invalidArgument, subject + " no JSON: " + simdjson::error_message(failure));
  JsonObject root;
  if (element.get(root))
    return makeError(ErrorCode::invalidArgument, subject + " no JSON object");
  return root;
}

void JsonReader::fail(std::string_view problem, std::string_view name) {
  if (ok())
    error_ = std::string(problem) + " '" + std::string(name) + "'";
}
bool JsonReader::contains(const JsonObject& object, std::string_view key) {
  JsonElement ignored;
  return object.at_key(key).get(ignored) == simdjson::SUCCESS;
}
bool JsonReader::find(const JsonObject& object, std::string_view key, JsonElement& out, Presence presence) {
  const bool required = presence == Presence::required;
  if (object.at_key(key).get(out) == simdjson::SUCCESS)
    return required || !out.is_null();
  if (required)
    fail("missing field", key);
  return false;
}
// Returns false if `out` was not set: the field is absent, or has another type, in which case an error is recorded.
template <class Value>
bool JsonReader::read(const JsonObject& object, std::string_view key, Value& out, std::string_view problem,
                      Presence presence) {
  JsonElement element;
  if (!find(object, key, element, presence))
    return false;
  if (element.get(out) == simdjson::SUCCESS)
    return true;
  fail(problem, key);
  return false;
}
void JsonReader::text(const JsonObject& object, std::string_view key, std::string& out, Presence presence) {
  std::string_view value;
  if (read(object, key, value, "no text in", presence))
    out = std::string(value);
}
void JsonReader::number(const JsonObject& object, std::string_view key, double& out, Presence presence) {
  read(object, key, out, "no number in", presence);
}
void JsonReader::boolean(const JsonObject& object, std::string_view key, bool& out) {
  read(object, key, out, "no true or false in", Presence::optional);
}
bool JsonReader::object(const JsonObject& object, std::string_view key, JsonObject& out, Presence presence) {
  return read(object, key, out, "no object in", presence);
}
bool JsonReader::array(const JsonObject& object, std::string_view key, JsonArray& out, Presence presence) {
  return read(object, key, out, "no list in", presence);
}
std::optional<std::int64_t> JsonReader::readInteger(const JsonObject& object, std::string_view key, Presence presence) {
  JsonElement element;
  if (!find(object, key, element, presence))
    return std::nullopt;
  std::int64_t integer = 0;
  if (!element.get(integer))
    return integer;
  double value = 0;
  if (!element.get(value))
    if (const auto exact = exactInteger(value))
      return exact;
  fail("no whole number in", key);
  return std::nullopt;
}
void JsonReader::duration(const JsonObject& object, std::string_view key, Duration& out, Duration unit) {
  constexpr double kAbsent = -1;
  double count = kAbsent;
  number(object, key, count);
  if (count >= 0)
    out = Duration(static_cast<std::int64_t>(count * static_cast<double>(unit.count())));
}
void JsonReader::milliseconds(const JsonObject& object, std::string_view key, Duration& out) {
  duration(object, key, out, 1ms);
}
void JsonReader::seconds(const JsonObject& object, std::string_view key, Duration& out) {
  duration(object, key, out, 1s);
}
}  // namespace zinccleat::config
