#include "coordination/sharding.hpp"

namespace zinccleat::coordination {
std::string_view groupOf(std::string_view cell) {
  const auto dot = cell.find('.');
  return dot == std::string_view::npos ? cell : cell.substr(0, dot + 1);
}
int shardOf(const Command& command) {
  const auto kind = command.op();
  const bool namesCell = kind == CommandKind::putCell || kind == CommandKind::getCell || kind == CommandKind::readIndex;
  const auto name = namesCell ? groupOf(command.name) : std::string_view(command.name);
  return static_cast<int>(hash64(name) % kShardCount);
}
}  // namespace zinccleat::coordination
