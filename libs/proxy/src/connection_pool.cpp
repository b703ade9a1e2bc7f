#include "proxy/connection_pool.hpp"

#include <sys/socket.h>

namespace zinccleat::proxy {
namespace {
// Quiet and open: neither closed by the far end nor holding bytes that nobody asked for.
bool isClean(runtime::Connection& connection) {
  char c = 0;
  const auto n = ::recv(connection.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
}  // namespace

std::unique_ptr<runtime::Connection> ConnectionPool::take(const std::string& id, TimePoint now, bool idempotent) {
  const auto it = idle_.find(id);
  if (it == idle_.end())
    return nullptr;
  auto& idle = it->second;
  while (!idle.empty()) {
    if (!idempotent && now - idle.back().since > safeIdle_)
      return nullptr;                      // all others sat longer
    auto newest = std::move(idle.back());  // the one used last: the others may age and go
    idle.pop_back();
    if (newest.until > now && isClean(*newest.connection))
      return std::move(newest.connection);
  }
  return nullptr;
}
void ConnectionPool::give(const std::string& id, std::unique_ptr<runtime::Connection> connection, TimePoint until,
                          TimePoint now) {
  idle_[id].push_back({std::move(connection), until, now});
}
void ConnectionPool::drop(const std::string& id) {
  idle_.erase(id);
}
void ConnectionPool::sweep(TimePoint now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const Idle& x) { return x.until <= now; });
    if (it->second.empty())
      it = idle_.erase(it);
    else
      ++it;
  }
}
}  // namespace zinccleat::proxy
