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
  // Between core machines, on the links of the replicated counters.
  counterProgressReport,
  counterTransferRequest,
  counterTransfer,
};
/// The type with the highest number.
constexpr MessageType kLastMessageType = MessageType::counterTransfer;

/// A message as it travels.
struct Envelope {
  MessageType type{};
  std::string sender;   ///< identity of a member or an agent; empty where the receiver does not need it
  std::string payload;  ///< the message's fields, encoded
};
/// A message that later versions have given further fields, in a struct of their own called `Extension`. They are
/// encoded as a second record behind the first, which receivers of earlier versions ignore; a message whose extension
/// is empty has the same bytes as before. An extension may itself have one.
template <class T>
concept Extensible = requires(const T message) {
  { message.extension.empty() } -> std::same_as<bool>;
};

/// Encodes a record and the extensions that it has.
template <class T>
std::string encodeExtended(const T& record) {
  auto payload = avro::encode(record);
  if constexpr (Extensible<T>)
    if (!record.extension.empty())
      payload += encodeExtended(record.extension);
  return payload;
}
/// Decodes a record and the extensions that the bytes hold.
/// @return `ErrorCode::corruption` if the record or one of them does not parse.
template <class T>
Result<T> decodeExtended(std::string_view payload) {
  std::size_t consumed = 0;
  auto record = avro::decode<T>(payload, &consumed);
  if constexpr (Extensible<T>) {
    if (!record || consumed >= payload.size())
      return record;
    auto extension = decodeExtended<decltype(record->extension)>(payload.substr(consumed));
    if (!extension)
      return tl::unexpected(std::move(extension.error()));
    record->extension = std::move(*extension);
  }
  return record;
}

/// Encodes a message.
template <class T>
Envelope pack(const T& message, std::string sender = {}) {
  return {T::kType, std::move(sender), encodeExtended(message)};
}
/// Decodes a message.
/// @return `ErrorCode::corruption` if the envelope holds another type of message, or fields that do not parse.
template <class T>
Result<T> unpack(const Envelope& envelope) {
  if (envelope.type != T::kType)
    return makeError(ErrorCode::corruption, "a message of type " + std::to_string(static_cast<int>(envelope.type)) +
                                                " instead of " + std::to_string(static_cast<int>(T::kType)));
  return decodeExtended<T>(envelope.payload);
}
}  // namespace zinccleat::transport
