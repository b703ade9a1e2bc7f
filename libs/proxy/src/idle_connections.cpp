#include "proxy/idle_connections.hpp"

namespace zc {
void IdleConnections::limit(Span longest) {
  for (auto& [connection, since] : idleSince_)
    connection->due(std::min(connection->dueAt(), since + longest));
}
}  // namespace zc
