#include "proxy/connection_pool.hpp"

#include <sys/socket.h>

namespace zc {
namespace {
// Quiet and open: neither closed by the far end nor holding bytes that nobody asked for.
bool clean(Connection& w) {
  char c;
  const auto n = ::recv(w.sock().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
}  // namespace
std::unique_ptr<Connection> Pool::take(const std::string& id, Instant now, bool repeatable) {
  const auto it = idle_.find(id);
  if (it == idle_.end())
    return nullptr;
  auto& v = it->second;
  while (!v.empty()) {
    if (!repeatable && now - v.back().since > safeIdle_)
      return nullptr;              // all others sat longer
    auto x = std::move(v.back());  // the one used last: the others may age and go
    v.pop_back();
    if (x.until > now && clean(*x.connection))
      return std::move(x.connection);
  }
  return nullptr;
}
void Pool::give(const std::string& id, std::unique_ptr<Connection> w, Instant until, Instant now) {
  idle_[id].push_back({std::move(w), until, now});
}
void Pool::drop(const std::string& id) {
  idle_.erase(id);
}
void Pool::sweep(Instant now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](Idle& x) { return x.until <= now; });
    if (it->second.empty())
      it = idle_.erase(it);
    else
      ++it;
  }
}
}  // namespace zc
