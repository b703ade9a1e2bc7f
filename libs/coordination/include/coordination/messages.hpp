/// @file
/// The messages between core machines on the links of the coordination service.
#pragma once
#include "coordination/leaseholder.hpp"
#include "transport/envelope.hpp"
namespace zinccleat::coordination {
/// A message of one shard's replicated log.
struct ShardConsensus {
  static constexpr auto kType = transport::MessageType::coordinationConsensus;
  std::int32_t shard = 0;
  std::string message;  ///< see `consensus::encodeMessage`
  template <class V>
  void fields(V& v) {
    v("shard", shard), v("message", message);
  }
};
/// A call that is passed to the shard's leaseholder.
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
/// How the call ended at the leaseholder.
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
/// Asks a member of the fleet's log whether its disk has records of any shard. Its sender is that log's leader, which
/// has none itself and is to say who founds the shards.
struct ShardRecordsQuery {
  static constexpr auto kType = transport::MessageType::shardRecordsQuery;
  std::int64_t requestId = 0;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId);
  }
};
/// The answer; the envelope names the member.
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
