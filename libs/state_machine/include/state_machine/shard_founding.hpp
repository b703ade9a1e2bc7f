/// @file
/// Who founds the logs of the coordination service's shards. Agreed on once, by an entry of the fleet's log: machines
/// that each went by the voters they know could found two logs during an update or a replacement.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::state_machine {
struct ShardFounding {
  std::int32_t shards = 0;  ///< how many there are; 0: not agreed on yet
  /// The first voters of each shard, by their identity in the fleet's log. Empty: the shards had been founded before
  /// this was agreed on, by an earlier version.
  std::vector<std::string> founders;
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("shards", shards), v("founders", founders);
  }
  bool operator==(const ShardFounding&) const = default;
  bool isAgreed() const { return shards > 0; }
  bool isFounder(const std::string& member) const {
    return std::find(founders.begin(), founders.end(), member) != founders.end();
  }
};
}  // namespace zinccleat::state_machine
