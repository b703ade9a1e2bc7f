/// What one frame carries: a message's type, its sender and its encoded fields. Each message is a struct of its own
/// with a `kType`; `pack` and `unpack` go between the two.
#pragma once
#include "transport/avro.hpp"
namespace zinccleat::transport {
enum class MessageType : std::uint8_t {
  consensus = 1,  // the payload is `encodeMessage`'s, see consensus/messages.hpp
  // Between core machines.
  submitEntry,
  submitEntryResponse,
  readIndexRequest,
  readIndexResponse,
  heartbeatBatch,
  heartbeatBatchResponse,
  // Between core machines and access machines.
  agentState,
  clusterStatus,
  followLog,
  feedEntries,
  feedSnapshot,
  bodyAhead,
  leaseRequest,
  leaseResponse,
  quotaTokenRequest,
  quotaTokenResponse,
  prefixLookupRequest,
  prefixLookupResponse,
};
constexpr MessageType kLastMessageType = MessageType::prefixLookupResponse;

struct Envelope {
  MessageType type{};
  std::string sender;  // a member's or an agent's identity; empty where nobody needs it
  std::string payload;
};
template <class T>
Envelope pack(const T& message, std::string sender = {}) {
  return {T::kType, std::move(sender), avro::encode(message)};
}
/// Fails if the envelope holds another type of message, or fields that do not parse.
template <class T>
Result<T> unpack(const Envelope& envelope) {
  if (envelope.type != T::kType)
    return makeError(ErrorCode::corruption, "a message of type " + std::to_string(static_cast<int>(envelope.type)) +
                                                " instead of " + std::to_string(static_cast<int>(T::kType)));
  return avro::decode<T>(envelope.payload);
}
}  // namespace zinccleat::transport
