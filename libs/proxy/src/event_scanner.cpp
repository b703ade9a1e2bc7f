#include "event_scanner.hpp"

namespace zinccleat::proxy {
namespace {
constexpr std::string_view kIdField = "id:";
constexpr std::size_t kMaxEventEnd = 3;  // bytes of the longest event terminator, "\n\r\n"

bool hasDataField(std::string_view events) {
  return events.starts_with("data") || events.find("\ndata") != events.npos;
}
// Whether the line feed at this position ends an empty line, which ends an event.
bool endsEvent(std::string_view text, std::size_t lineFeed) {
  const auto before = text.substr(0, lineFeed);
  return before.ends_with('\n') || (before.size() >= kMaxEventEnd && before.ends_with("\n\r"));
}
// The position after the last complete event whose final line feed is at `from` or later; 0 if there is none.
std::size_t endOfLastEvent(std::string_view text, std::size_t from) {
  std::size_t end = 0;
  for (auto lineFeed = text.find('\n', from); lineFeed != text.npos; lineFeed = text.find('\n', lineFeed + 1))
    if (endsEvent(text, lineFeed))
      end = lineFeed + 1;
  return end;
}
// The position after the event that contains `position`.
std::size_t endOfEvent(std::string_view text, std::size_t position) {
  const auto afterLf = text.find("\n\n", position);
  const auto afterCrLf = text.find("\n\r\n", position);
  return std::min(
      {afterLf == text.npos ? text.size() : afterLf + 2, afterCrLf == text.npos ? text.size() : afterCrLf + 3});
}
// The position of the last line that begins with "id:"; `npos` if there is none.
std::size_t findLastIdField(std::string_view text) {
  auto position = text.rfind(kIdField);
  while (position != text.npos && position != 0 && text[position - 1] != '\n')
    position = text.rfind(kIdField, position - 1);
  return position;
}
}  // namespace

std::string_view EventScanner::feed(std::string_view bytes) {
  completeEvents_.clear();
  const auto scanned = partialEvent_.size() > kMaxEventEnd ? partialEvent_.size() - kMaxEventEnd : 0;
  partialEvent_ += bytes;
  const auto end = endOfLastEvent(partialEvent_, scanned);
  if (end == 0)
    return {};
  completeEvents_.assign(partialEvent_, 0, end);
  partialEvent_.erase(0, end);
  updateLastEventId();
  return completeEvents_;
}

void EventScanner::updateLastEventId() {
  const std::string_view events = completeEvents_;
  const auto field = findLastIdField(events);
  if (field == events.npos) {
    hasEventWithoutId_ = hasEventWithoutId_ || hasDataField(events);
    return;
  }
  auto valueBegin = field + kIdField.size();
  while (valueBegin < events.size() && events[valueBegin] == ' ')
    ++valueBegin;
  const auto valueEnd = std::min(events.find_first_of("\r\n", valueBegin), events.size());
  lastEventId_.assign(events.substr(valueBegin, valueEnd - valueBegin));
  hasEventWithoutId_ = hasDataField(events.substr(endOfEvent(events, valueEnd)));
}
}  // namespace zinccleat::proxy
