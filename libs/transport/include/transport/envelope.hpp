/// What one frame carries: a message's type, its sender and its encoded fields. Each message is a struct with a `kType`
/// and a list of fields (see avro.hpp); `pack` and `unpack` convert between struct and envelope.
#pragma once
#include <concepts>

#include "transport/avro.hpp"
namespace zinccleat::transport {
/// The types of message. The numbers are part of the wire format: new ones are appended.
enum class MessageType : std::uint8_t {
  consensus = 1,  ///< the payload is that of `consensus::encodeMessage`
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
  // Between core machines, on the links of the coordination service.
  coordinationConsensus,
  coordinationCall,
  coordinationResult,
  shardRecordsQuery,
  shardRecordsAnswer,
};
/// The type with the highest number.
constexpr MessageType kLastMessageType = MessageType::shardRecordsAnswer;

/// A message as it travels.
struct Envelope {
  MessageType type{};
  std::string sender;   ///< identity of a member or an agent; empty where the receiver does not need it
  std::string payload;  ///< the message's fields, encoded
};
/// A message that later versions have given further fields, in a struct of their own called `Extension`. They are
/// encoded as a second record behind the first, which receivers of earlier versions ignore; a message whose extension
/// is empty has the same bytes as before.
template <class T>
concept Extensible = requires(const T message) {
  { message.extension.empty() } -> std::same_as<bool>;
};

/// Encodes a message.
template <class T>
Envelope pack(const T& message, std::string sender = {}) {
  auto payload = avro::encode(message);
  if constexpr (Extensible<T>)
    if (!message.extension.empty())
      payload += avro::encode(message.extension);
  return {T::kType, std::move(sender), std::move(payload)};
}
/// Decodes a message.
/// @return `ErrorCode::corruption` if the envelope holds another type of message, or fields that do not parse.
template <class T>
Result<T> unpack(const Envelope& envelope) {
  if (envelope.type != T::kType)
    return makeError(ErrorCode::corruption, "a message of type " + std::to_string(static_cast<int>(envelope.type)) +
                                                " instead of " + std::to_string(static_cast<int>(T::kType)));
  if constexpr (Extensible<T>) {
    std::size_t consumed = 0;
    auto message = avro::decode<T>(envelope.payload, &consumed);
    if (!message || consumed >= envelope.payload.size())
      return message;
    auto extension = avro::decode<typename T::Extension>(std::string_view(envelope.payload).substr(consumed));
    if (!extension)
      return tl::unexpected(std::move(extension.error()));
    message->extension = std::move(*extension);
    return message;
  } else {
    return avro::decode<T>(envelope.payload);
  }
}
}  // namespace zinccleat::transport
