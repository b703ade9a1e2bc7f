// Frames of the fleet's own connections, as the network may bring them: whole, in parts, in pieces, or none of ours.
#include "fuzz_target.hpp"
#include "transport/access_messages.hpp"
#include "transport/peer_link.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::transport;
// The stream comes in reads; the input's first byte says how long each is.
void unframeInReads(std::string_view input) {
  if (input.empty())
    return;
  const auto readLength = 1 + static_cast<std::size_t>(static_cast<unsigned char>(input.front())) * 16;
  input.remove_prefix(1);
  std::string buffer;
  std::string partial;
  while (!input.empty()) {
    const auto read = input.substr(0, readLength);
    input.remove_prefix(read.size());
    buffer += read;
    const auto messages = unframe(buffer, &partial);
    if (!messages)
      return;
    // What was understood can be said again.
    for (auto& m : *messages) {
      auto again = frameOf(m);
      const auto same = unframe(again);
      fuzz::require(same && same->size() == 1 && again.empty());
      fuzz::require(frameOf(same->front()) == frameOf(m));
    }
  }
}
std::vector<std::string> frameExamples() {
  LogEntry entry;
  entry.index = 7;
  entry.term = 3;
  entry.kind = 2;
  entry.operationId = "runner/i1/in/4";
  entry.body = "blob";
  FeedEntries entries;
  entries.entries = {entry, entry};
  const auto feed = pack(entries, "10.0.0.1#0");
  LeaseResponse answer;
  answer.granted = true;
  answer.requestId = 9;
  answer.grants = {{"tenant", 1.5, 2}};
  const auto lease = pack(answer);
  const auto whole = frameOf(feed);
  const std::string readAll(1, '\xff');
  const std::string readByByte(1, '\0');
  std::string pieces;
  for (std::size_t at = 0; at < whole.size(); at += 40) {
    const auto part = whole.substr(at, 40);
    const auto length = static_cast<char>(part.size() + 2);
    pieces += std::string("\0\0\0", 3) + length + '\3' + (at + 40 >= whole.size() ? '\1' : '\0') + part;
  }
  return {readAll + whole, readAll + whole + frameOf(lease), readByByte + frameOf(lease) + whole, readAll + pieces};
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(frames, unframeInReads, frameExamples)
