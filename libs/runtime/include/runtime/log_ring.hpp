/// The structured log. A line is a fixed event name and key=value fields:
///
///     1234.567 core-1 event=leader_followed member=core-2 term=7
///
/// Debug lines are collected in a ring buffer in memory, which is written to standard error when an error is logged, an
/// invariant is violated or SIGUSR1 arrives.
/// docs/on-call.md and docs/events explain the events to operators. A line that standard error cannot take without
/// blocking, because nobody reads it, is dropped.
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
  /// A duration in whole milliseconds, the unit of every duration in the log. The key must end in `_ms`.
  Field(std::string_view fieldKey, Duration duration) : key(fieldKey), value(std::to_string(duration.count())) {}
};
using Fields = std::initializer_list<Field>;

/// Sets the node name that follows the timestamp in each line.
void setNodeName(std::string node);
/// Adds a line to the ring buffer without writing it to standard error.
/// @param event a fixed name in lower_snake_case.
void debug(std::string_view event, Fields fields = {});
/// Writes a line to standard error immediately, bypassing the ring buffer. For rare events such as start and stop.
void info(std::string_view event, Fields fields = {});
/// Adds a line with `level=error` to the ring buffer, and dumps the buffer at most once every five seconds.
void error(std::string_view event, Fields fields = {});
/// Writes all lines of the ring buffer that were not written before to standard error.
void dump();
/// Sets whether `debug` lines are also written to standard error immediately.
void setVerbose(bool on);
/// The lines in the ring buffer, oldest first.
std::vector<std::string> lines();
}  // namespace zinccleat::log
