#include "events.hpp"

namespace zinccleat::proxy {
namespace {
bool holdsData(std::string_view events) {
  return events.substr(0, 4) == "data" || events.find("\ndata") != events.npos;
}
// The end of the event that holds this position.
std::size_t endOfEvent(std::string_view s, std::size_t at) {
  const auto lf = s.find("\n\n", at);
  const auto crlf = s.find("\n\r\n", at);
  return std::min({lf == s.npos ? s.size() : lf + 2, crlf == s.npos ? s.size() : crlf + 3, s.size()});
}
}  // namespace
std::string_view EventScan::feed(std::string_view bytes) {
  whole_.clear();
  const auto looked = rest_.size() > 3 ? rest_.size() - 3 : 0;
  rest_ += bytes;
  std::size_t end = 0;
  for (auto i = looked; i < rest_.size(); ++i) {
    if (rest_[i] != '\n')
      continue;
    if (i >= 1 && rest_[i - 1] == '\n')
      end = i + 1;
    else if (i >= 3 && rest_[i - 1] == '\r' && rest_[i - 2] == '\n')
      end = i + 1;
  }
  if (end == 0)
    return {};
  whole_.assign(rest_, 0, end);
  rest_.erase(0, end);
  // The last line that begins with "id:" names the last event.
  bool named = false;
  for (auto at = whole_.rfind("id:"); at != std::string::npos;
       at = at == 0 ? std::string::npos : whole_.rfind("id:", at - 1)) {
    if (at != 0 && whole_[at - 1] != '\n')
      continue;
    auto from = at + 3;
    while (from < whole_.size() && whole_[from] == ' ')
      ++from;
    auto to = from;
    while (to < whole_.size() && whole_[to] != '\n' && whole_[to] != '\r')
      ++to;
    lastId_.assign(whole_, from, to - from);
    named = true;
    nameless_ = holdsData(std::string_view(whole_).substr(endOfEvent(whole_, to)));
    break;
  }
  if (!named)
    nameless_ = nameless_ || holdsData(whole_);
  return whole_;
}
}  // namespace zinccleat::proxy
