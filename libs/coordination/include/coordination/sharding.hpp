/// @file
/// Which shard a name belongs to. Each shard is a replicated log of its own, whose leader is the shard's leaseholder.
#pragma once
#include "coordination/commands.hpp"
namespace zinccleat::coordination {
/// Shards of the name space. It is part of the disk format: with another number, names would move to shards that do
/// not know them.
constexpr int kShardCount = 2;

/// The group of a cell: its name up to and including the first dot, or all of it.
std::string_view groupOf(std::string_view cell);
/// The shard of a command: a lock or number lies whole in one shard, and so does a group of cells.
int shardOf(const Command& command);
}  // namespace zinccleat::coordination
