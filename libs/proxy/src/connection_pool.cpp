#include "proxy/connection_pool.hpp"

#include <sys/socket.h>

namespace zinccleat::proxy {
namespace {
// Whether the connection is open and has received no unsolicited bytes.
bool isReusable(runtime::Connection& connection) {
  char next = 0;
  const auto count = ::recv(connection.socket().native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
}  // namespace

std::unique_ptr<runtime::Connection> ConnectionPool::acquire(const std::string& runnerId, TimePoint now,
                                                             bool idempotent) {
  const auto it = idle_.find(runnerId);
  if (it == idle_.end())
    return nullptr;
  auto& idle = it->second;
  while (!idle.empty()) {
    if (!idempotent && now - idle.back().idleSince > maxIdleNonIdempotent_)
      return nullptr;  // all other connections have been idle for longer
    auto newest = std::move(idle.back());
    idle.pop_back();
    if (newest.expiresAt > now && isReusable(*newest.connection))
      return std::move(newest.connection);
  }
  return nullptr;
}

void ConnectionPool::release(const std::string& runnerId, std::unique_ptr<runtime::Connection> connection,
                             TimePoint expiresAt, TimePoint now) {
  idle_[runnerId].push_back({std::move(connection), expiresAt, now});
}

void ConnectionPool::closeAll(const std::string& runnerId) {
  idle_.erase(runnerId);
}

void ConnectionPool::closeExpired(TimePoint now) {
  for (auto& [runnerId, connections] : idle_)
    std::erase_if(connections, [&](const IdleConnection& idle) { return idle.expiresAt <= now; });
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

bool ConnectionPool::closeOldest() {
  auto oldest = idle_.end();
  for (auto it = idle_.begin(); it != idle_.end(); ++it) {
    const bool isOlder = !it->second.empty() &&
                         (oldest == idle_.end() || it->second.front().idleSince < oldest->second.front().idleSince);
    if (isOlder)
      oldest = it;
  }
  if (oldest == idle_.end())
    return false;
  oldest->second.erase(oldest->second.begin());
  return true;
}

std::size_t ConnectionPool::size() const {
  std::size_t connections = 0;
  for (const auto& [runnerId, idle] : idle_)
    connections += idle.size();
  return connections;
}
}  // namespace zinccleat::proxy
