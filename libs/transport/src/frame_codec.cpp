#include "transport/frame_codec.hpp"

namespace zinccleat::transport {
namespace {
constexpr char kFrameFormat = 4;
constexpr char kFragmentFormat = 3;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = kLengthBytes + 1;  // length and format
constexpr std::size_t kMaxSenderBytes = 255;            // the length of the sender is encoded in one byte
constexpr std::size_t kMaxFrameBytes = std::size_t{32} << 20;

Traffic processTraffic;

void count(Traffic::Count (&counts)[Traffic::kTypes], MessageType type, std::size_t bytes) {
  const auto index = static_cast<std::size_t>(type);
  auto& counted = counts[index < Traffic::kTypes ? index : 0];
  ++counted.messages;
  counted.bytes += bytes;
}
void appendHeader(std::string& out, std::size_t bodyBytes, char format) {
  const auto length = static_cast<std::uint32_t>(bodyBytes + 1);
  for (int shift = 24; shift >= 0; shift -= 8)
    out += static_cast<char>(length >> shift);
  out += format;
}
std::uint32_t readLength(std::string_view header) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    length = length << 8 | static_cast<unsigned char>(header[i]);
  return length;
}
Result<Envelope> decodeEnvelope(std::string_view body) {
  if (body.size() < 2)
    return makeError(ErrorCode::corruption, "frame header is truncated");
  const std::size_t senderBytes = static_cast<unsigned char>(body[1]);
  if (body.size() < 2 + senderBytes)
    return makeError(ErrorCode::corruption, "sender extends beyond the end of the frame");
  Envelope envelope;
  envelope.type = static_cast<MessageType>(body[0]);
  if (envelope.type < MessageType::consensus || envelope.type > kLastMessageType)
    return makeError(ErrorCode::corruption, "unknown message type " + std::to_string(static_cast<int>(envelope.type)));
  envelope.sender = body.substr(2, senderBytes);
  envelope.payload = body.substr(2 + senderBytes);
  return envelope;
}
Result<void> decodeFrame(std::string_view body, std::vector<Envelope>& envelopes) {
  auto envelope = decodeEnvelope(body);
  if (!envelope)
    return tl::unexpected(std::move(envelope.error()));
  count(processTraffic.received, envelope->type, kHeaderBytes + body.size());
  envelopes.push_back(std::move(*envelope));
  return {};
}
/// Appends a fragment to the accumulated fragments, and decodes the frame if this fragment is its last.
Result<void> decodeFragment(std::string_view body, std::string& fragments, std::vector<Envelope>& envelopes) {
  fragments += body.substr(1);
  if (fragments.size() > kMaxFrameBytes)
    return makeError(ErrorCode::corruption, "fragmented frame exceeds the maximum length");
  const bool last = body.front() != 0;
  if (!last)
    return {};
  auto frame = std::exchange(fragments, {});
  auto completed = decodeFrames(frame);
  if (!completed)
    return tl::unexpected(std::move(completed.error()));
  if (!frame.empty())
    return makeError(ErrorCode::corruption, "fragments do not form a complete frame");
  for (auto& envelope : *completed)
    envelopes.push_back(std::move(envelope));
  return {};
}
}  // namespace

std::string encodeFrame(const Envelope& envelope) {
  checkInvariant(envelope.sender.size() <= kMaxSenderBytes, "a sender's identity has at most 255 bytes");
  const auto bodyBytes = 2 + envelope.sender.size() + envelope.payload.size();
  std::string frame;
  frame.reserve(kHeaderBytes + bodyBytes);
  appendHeader(frame, bodyBytes, kFrameFormat);
  frame += static_cast<char>(envelope.type);
  frame += static_cast<char>(envelope.sender.size());
  frame += envelope.sender;
  frame += envelope.payload;
  count(processTraffic.sent, envelope.type, frame.size());
  return frame;
}
MessageType typeOf(std::string_view frame) {
  return frame.size() > kHeaderBytes ? static_cast<MessageType>(frame[kHeaderBytes]) : MessageType{};
}
std::size_t appendFragment(std::string& out, std::string_view frame, std::size_t offset) {
  const auto part = frame.substr(offset, kFragmentBytes);
  const bool last = offset + part.size() == frame.size();
  appendHeader(out, 1 + part.size(), kFragmentFormat);
  out += last ? '\1' : '\0';
  out += part;
  return offset + part.size();
}
Result<std::vector<Envelope>> decodeFrames(std::string& received, std::string* fragments) {
  std::vector<Envelope> envelopes;
  std::size_t consumed = 0;
  while (received.size() - consumed >= kHeaderBytes) {
    const auto rest = std::string_view(received).substr(consumed);
    const auto length = readLength(rest);
    if (length < 1 || length > kMaxFrameBytes)
      return makeError(ErrorCode::corruption, "frame length is out of range");
    const char format = rest[kLengthBytes];
    const bool isFragment = format == kFragmentFormat && fragments;
    if (isFragment && length < 2)
      return makeError(ErrorCode::corruption, "fragment is empty");
    if (!isFragment && format != kFrameFormat) {
      ++processTraffic.framesOfOtherFormats;
      return makeError(ErrorCode::incompatibleFormat, "unsupported frame format version: " + std::to_string(format));
    }
    if (rest.size() < kLengthBytes + length)
      break;
    const auto body = rest.substr(kHeaderBytes, length - 1);
    const auto decoded = isFragment ? decodeFragment(body, *fragments, envelopes) : decodeFrame(body, envelopes);
    if (!decoded)
      return tl::unexpected(decoded.error());
    consumed += kLengthBytes + length;
  }
  received.erase(0, consumed);
  return envelopes;
}

const Traffic& trafficCounters() {
  return processTraffic;
}
void countDeclinedFrame() {
  ++processTraffic.framesDeclined;
}
}  // namespace zinccleat::transport
