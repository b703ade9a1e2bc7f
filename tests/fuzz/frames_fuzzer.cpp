/// Fuzzes the decoder of the frames that the machines of the fleet exchange. A frame may arrive complete, split between
/// reads or in fragments; the input may also be no frame at all.
#include "fuzz_target.hpp"
#include "transport/access_messages.hpp"
#include "transport/frame_codec.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::transport;
/// Encoding a decoded envelope and decoding the result must yield the same envelope.
void requireEncodingRoundTrip(const Envelope& envelope) {
  const auto frame = encodeFrame(envelope);
  auto received = frame;
  const auto decoded = decodeFrames(received);
  fuzz::require(decoded && decoded->size() == 1 && received.empty());
  fuzz::require(encodeFrame(decoded->front()) == frame);
}
/// Decodes the input as a byte stream that arrives in several reads. The first byte of the input selects the read size.
void decodeInReads(std::string_view input) {
  if (input.empty())
    return;
  const auto readLength = 1 + static_cast<std::size_t>(static_cast<unsigned char>(input.front())) * 16;
  input.remove_prefix(1);
  std::string buffer;
  std::string fragments;
  while (!input.empty()) {
    const auto read = input.substr(0, readLength);
    input.remove_prefix(read.size());
    buffer += read;
    const auto envelopes = decodeFrames(buffer, &fragments);
    if (!envelopes)
      return;
    for (const auto& envelope : *envelopes)
      requireEncodingRoundTrip(envelope);
  }
}
/// Splits a frame into fragments of 40 bytes, far smaller than the fragments that the fleet sends.
std::string smallFragmentsOf(const std::string& frame) {
  constexpr std::size_t kFragmentBytes = 40;
  std::string fragments;
  for (std::size_t offset = 0; offset < frame.size(); offset += kFragmentBytes) {
    const auto part = frame.substr(offset, kFragmentBytes);
    const bool last = offset + kFragmentBytes >= frame.size();
    const auto length = static_cast<char>(part.size() + 2);
    fragments += std::string("\0\0\0", 3) + length + '\3' + (last ? '\1' : '\0') + part;
  }
  return fragments;
}
std::string feedFrame() {
  LogEntry entry;
  entry.index = 7;
  entry.term = 3;
  entry.kind = 2;
  entry.operationId = "runner/i1/in/4";
  entry.body = "blob";
  FeedEntries feed;
  feed.entries = {entry, entry};
  return encodeFrame(pack(feed, "10.0.0.1#0"));
}
std::string leaseFrame() {
  LeaseResponse response;
  response.granted = true;
  response.requestId = 9;
  response.grants = {{"tenant", 1.5, 2}};
  return encodeFrame(pack(response));
}
std::vector<std::string> frameExamples() {
  const std::string inLongReads(1, '\xff');
  const std::string byteByByte(1, '\0');
  const auto feed = feedFrame();
  const auto lease = leaseFrame();
  return {inLongReads + feed, inLongReads + feed + lease, byteByByte + lease + feed,
          inLongReads + smallFragmentsOf(feed)};
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(frames, decodeInReads, frameExamples)
