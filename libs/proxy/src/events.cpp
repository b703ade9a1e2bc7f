#include "events.hpp"

namespace zc {
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
    break;
  }
  return whole_;
}
}  // namespace zc
