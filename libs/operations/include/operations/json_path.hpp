/// Looking up one field of a JSON text by a path.
///
/// A path is a list of segments separated by dots; a dot inside square brackets belongs to its segment:
///   NAME              a field of an object
///   NAME#             the length of a list; segments after this one are ignored
///   NAME[KEY=VALUE]   the first object of a list whose field KEY has this value
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::operations {
/// Finds the value at a path.
/// @return a string value without quotes, any other value as minified JSON; `std::nullopt` if no value exists at the
///   path, the path is malformed, or the text is not JSON
std::optional<std::string> fieldOf(std::string_view json, std::string_view path);
}  // namespace zinccleat::operations
