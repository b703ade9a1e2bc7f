#include "proxy/idle_connections.hpp"

namespace zinccleat::proxy {
void IdleConnections::limit(Duration longest) {
  for (auto& [connection, since] : idleSince_)
    connection->setDeadline(std::min(connection->deadline(), since + longest));
}
}  // namespace zinccleat::proxy
