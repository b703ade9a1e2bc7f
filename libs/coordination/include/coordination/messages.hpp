/// @file
/// The messages between core machines for the coordination service.
#pragma once
#include "coordination/leaseholder.hpp"
#include "transport/envelope.hpp"
namespace zinccleat::coordination {
/// A message of the replicated log of one shard.
struct ShardConsensus {
  static constexpr auto kType = transport::MessageType::coordinationConsensus;
  std::int32_t shard = 0;
  std::string message;  ///< encoded by `consensus::encodeMessage`
  template <class V>
  void fields(V& v) {
    v("shard", shard), v("message", message);
  }
};
/// A call that is forwarded to the leaseholder of a shard.
struct ShardCall {
  static constexpr auto kType = transport::MessageType::coordinationCall;
  std::int32_t shard = 0;
  std::int64_t requestId = 0;
  Command command;
  template <class V>
  void fields(V& v) {
    v("shard", shard), v("requestId", requestId), v("command", command);
  }
};
/// The result of a forwarded call.
struct ShardCallResult {
  static constexpr auto kType = transport::MessageType::coordinationResult;
  std::int64_t requestId = 0;
  std::int32_t status = 0;  ///< a `CallStatus`
  Outcome outcome;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("status", status), v("outcome", outcome);
  }
};
/// Asks a member of the fleet's log whether its disk has records of any shard. The sender is the leader of the fleet's
/// log; it has no shard records itself and decides which members create the shards.
struct ShardRecordsQuery {
  static constexpr auto kType = transport::MessageType::shardRecordsQuery;
  std::int64_t requestId = 0;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId);
  }
};
/// The answer to a `ShardRecordsQuery`; the envelope names the member.
struct ShardRecordsAnswer {
  static constexpr auto kType = transport::MessageType::shardRecordsAnswer;
  std::int64_t requestId = 0;
  bool hasRecords = false;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("hasRecords", hasRecords);
  }
};
}  // namespace zinccleat::coordination
