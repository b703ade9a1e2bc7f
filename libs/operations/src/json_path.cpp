#include "operations/json_path.hpp"

#include <sstream>

#include "config/json.hpp"

namespace zinccleat::operations {
namespace {
using config::JsonArray;
using config::JsonElement;
using config::JsonObject;

struct Segment {
  std::string_view name;
  bool isCount = false;  // the segment is NAME#
  std::string_view key;  // KEY of NAME[KEY=VALUE]; empty for the other forms
  std::string_view value;
};

std::string textOf(JsonElement element) {
  std::string_view text;
  if (!element.get(text))
    return std::string(text);
  std::ostringstream minified;
  minified << simdjson::minify(element);
  return minified.str();
}

// Length of the path's first segment, which ends at the first dot outside brackets or at the end of the path.
std::size_t segmentLength(std::string_view path) {
  int depth = 0;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] == '.' && depth <= 0)
      return i;
    if (path[i] == '[')
      ++depth;
    else if (path[i] == ']')
      --depth;
  }
  return path.size();
}
// Removes the first segment and the dot after it from the path. Returns the segment.
std::string_view popSegment(std::string_view& path) {
  const auto length = segmentLength(path);
  const auto segment = path.substr(0, length);
  path.remove_prefix(std::min(path.size(), length + 1));
  return segment;
}

// Returns std::nullopt if there is no '=' between the brackets.
std::optional<Segment> parseSegment(std::string_view text) {
  Segment segment;
  segment.isCount = text.ends_with('#');
  if (segment.isCount)
    text.remove_suffix(1);
  segment.name = text;
  const auto bracket = text.find('[');
  if (bracket == std::string_view::npos || text.back() != ']')
    return segment;
  segment.name = text.substr(0, bracket);
  const auto selector = text.substr(bracket + 1, text.size() - bracket - 2);
  const auto equals = selector.find('=');
  if (equals == std::string_view::npos)
    return std::nullopt;
  segment.key = selector.substr(0, equals);
  segment.value = selector.substr(equals + 1);
  return segment;
}

bool hasField(JsonElement element, std::string_view key, std::string_view value) {
  JsonObject object;
  JsonElement field;
  return !element.get(object) && !object.at_key(key).get(field) && textOf(field) == value;
}
std::optional<JsonElement> findElement(JsonElement list, std::string_view key, std::string_view value) {
  JsonArray elements;
  if (list.get(elements))
    return std::nullopt;
  for (const auto element : elements)
    if (hasField(element, key, value))
      return element;
  return std::nullopt;
}
std::optional<std::string> countElements(JsonElement list) {
  JsonArray elements;
  if (list.get(elements))
    return std::nullopt;
  return std::to_string(elements.size());
}
}  // namespace

std::optional<std::string> fieldOf(std::string_view json, std::string_view path) {
  config::JsonDocument document(json);
  JsonElement position;
  if (document.parse(position))
    return std::nullopt;
  while (!path.empty()) {
    const auto segment = parseSegment(popSegment(path));
    JsonObject object;
    if (!segment || position.get(object) || object.at_key(segment->name).get(position))
      return std::nullopt;
    if (segment->isCount)
      return countElements(position);
    if (segment->key.empty())
      continue;
    const auto selected = findElement(position, segment->key, segment->value);
    if (!selected)
      return std::nullopt;
    position = *selected;
  }
  return textOf(position);
}
}  // namespace zinccleat::operations
