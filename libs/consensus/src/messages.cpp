#include "consensus/messages.hpp"

#include "transport/avro.hpp"
#include "transport/envelope.hpp"

namespace zinccleat::consensus {
namespace {
template <std::size_t Index = 0>
Result<ConsensusMessage> decodeAlternative(std::size_t type, std::string_view record) {
  if constexpr (Index == std::variant_size_v<ConsensusMessage>) {
    return makeError(ErrorCode::corruption, "unknown type of consensus message " + std::to_string(type));
  } else {
    if (type != Index)
      return decodeAlternative<Index + 1>(type, record);
    auto message = transport::decodeExtended<std::variant_alternative_t<Index, ConsensusMessage>>(record);
    if (!message)
      return tl::unexpected(message.error());
    return ConsensusMessage(std::move(*message));
  }
}
}  // namespace

std::string encodeMessage(const ConsensusMessage& message) {
  std::string bytes(1, static_cast<char>(message.index()));
  bytes += std::visit([](const auto& alternative) { return transport::encodeExtended(alternative); }, message);
  return bytes;
}
Result<ConsensusMessage> decodeMessage(std::string_view bytes) {
  if (bytes.empty())
    return makeError(ErrorCode::corruption, "empty consensus message");
  return decodeAlternative(static_cast<unsigned char>(bytes.front()), bytes.substr(1));
}
}  // namespace zinccleat::consensus
