#include "proxy/idle_connections.hpp"

namespace zinccleat::proxy {
void IdleConnections::limitIdleTime(Duration maxIdle) {
  for (auto& [connection, since] : idleSince_)
    connection->setDeadline(std::min(connection->deadline(), since + maxIdle));
}
}  // namespace zinccleat::proxy
