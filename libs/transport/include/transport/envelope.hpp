/// The content of a frame: the type of a message, its sender and its encoded fields. Each message is a struct with a
/// `kType` and a list of fields (see avro.hpp); `pack` and `unpack` convert between struct and envelope.
#pragma once
#include <concepts>

#include "transport/avro.hpp"
namespace zinccleat::transport {
/// The message types. The values are part of the wire format: new types are appended at the end.
enum class MessageType : std::uint8_t {
  consensus = 1,  ///< the payload is encoded by `consensus::encodeMessage`
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

/// An encoded message with its type and sender.
struct Envelope {
  MessageType type{};
  std::string sender;   ///< identity of a member or an agent; empty if the receiver does not need it
  std::string payload;  ///< the message's fields, encoded
};
/// A message to which a later version added fields, in a nested struct called `Extension`. The extension is encoded as
/// a second record after the message's own record, and receivers of earlier versions ignore it. A message with an empty
/// extension has the same encoding as in earlier versions. An extension may itself have an extension.
template <class T>
concept Extensible = requires(const T message) {
  { message.extension.empty() } -> std::same_as<bool>;
};

/// Encodes a record and its non-empty extensions.
template <class T>
std::string encodeExtended(const T& record) {
  auto payload = avro::encode(record);
  if constexpr (Extensible<T>)
    if (!record.extension.empty())
      payload += encodeExtended(record.extension);
  return payload;
}
/// Decodes a record and the extensions that follow it.
/// @return `ErrorCode::corruption` if the record or an extension is malformed.
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
/// @return `ErrorCode::corruption` if the envelope holds another type of message or malformed fields.
template <class T>
Result<T> unpack(const Envelope& envelope) {
  if (envelope.type != T::kType)
    return makeError(ErrorCode::corruption, "a message of type " + std::to_string(static_cast<int>(envelope.type)) +
                                                " instead of " + std::to_string(static_cast<int>(T::kType)));
  return decodeExtended<T>(envelope.payload);
}
}  // namespace zinccleat::transport
