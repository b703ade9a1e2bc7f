/// @file
/// Assigns names to shards. Each shard is a separate replicated log, and the leader of the log is the shard's
/// leaseholder.
#pragma once
#include "coordination/commands.hpp"
namespace zinccleat::coordination {
/// Number of shards. It is part of the disk format: changing it would assign names to shards that do not have their
/// data.
constexpr int kShardCount = 2;

/// The group of a cell: its name up to and including the first dot, or the whole name if there is no dot.
std::string_view groupOf(std::string_view cell);
/// The shard of a command. A lock or a number belongs to exactly one shard, and so do all cells of a group.
int shardOf(const Command& command);
}  // namespace zinccleat::coordination
