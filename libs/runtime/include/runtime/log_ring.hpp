/// The structured log. A line is a fixed event name and key=value fields:
///
///     1234.567 core-1 event=leader_followed member=core-2 term=7
///
/// Lines stay in a ring buffer in memory, which is written to standard error when something goes wrong. The events and
/// what each means to an operator: docs/on-call.md and docs/events.
#pragma once
#include <concepts>
#include <initializer_list>

#include "runtime/common.hpp"

namespace zinccleat::log {
/// One key=value pair of a line. A value with spaces, quotes or an equals sign is written in quotes.
struct Field {
  std::string_view key;
  std::string value;
  Field(std::string_view fieldKey, std::string_view text) : key(fieldKey), value(text) {}
  Field(std::string_view fieldKey, const std::string& text) : key(fieldKey), value(text) {}
  Field(std::string_view fieldKey, const char* text) : key(fieldKey), value(text) {}
  Field(std::string_view fieldKey, bool flag) : key(fieldKey), value(flag ? "true" : "false") {}
  template <std::integral T>
  Field(std::string_view fieldKey, T number) : key(fieldKey), value(std::to_string(number)) {}
  /// Whole milliseconds, the unit of every duration in the log; its key ends in `_ms`.
  Field(std::string_view fieldKey, Duration duration) : key(fieldKey), value(std::to_string(duration.count())) {}
};
using Fields = std::initializer_list<Field>;

/// Sets the name that each line bears after its time.
void setNodeName(std::string node);
/// Keeps a line in the ring buffer only.
/// @param event a fixed name in lower_snake_case.
void debug(std::string_view event, Fields fields = {});
/// Writes a line at once, past the ring buffer: start, stop and the like.
void info(std::string_view event, Fields fields = {});
/// Keeps a line with `level=error` and writes the ring buffer out, at most once every five seconds.
void error(std::string_view event, Fields fields = {});
/// Writes out all lines of the ring buffer that have not been written yet.
void dump();
/// Whether `debug` lines are written at once too.
void setVerbose(bool on);
/// The lines in the ring buffer, oldest first.
std::vector<std::string> lines();
}  // namespace zinccleat::log
