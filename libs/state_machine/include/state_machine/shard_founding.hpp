/// @file
/// Which members found the logs of the coordination service's shards. The founders are agreed on once, by an entry of
/// the fleet's log. If each machine derived the founders from the voters that it knows, two logs could be founded for
/// one shard during an update or a replacement of machines.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::state_machine {
struct ShardFounding {
  std::int32_t shards = 0;  ///< number of shards; 0: not agreed on yet
  /// The first voters of each shard, by their identity in the fleet's log. Empty if the shards were founded by an
  /// earlier version of this program, before this entry existed.
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
