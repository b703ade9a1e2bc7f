// Frames on a connection: round trips of messages, invalid bytes, and large frames that are sent in fragments.
#include <gtest/gtest.h>

#include "transport/access_messages.hpp"
#include "transport/avro.hpp"
#include "transport/peer_link.hpp"

using namespace zinccleat;
using namespace zinccleat::transport;
namespace {
constexpr std::size_t kLargeBody = 100000;

LogEntry entryAt(std::int64_t index, const std::string& body = "b") {
  LogEntry entry;
  entry.index = index;
  entry.body = body;
  return entry;
}
std::string validFrame() {
  return encodeFrame(pack(AgentState{}, "x"));
}
/// A valid frame with one byte replaced.
std::string frameWith(std::size_t offset, int byte) {
  auto frame = validFrame();
  frame[offset] = static_cast<char>(byte);
  return frame;
}
/// Encodes a fragment of a large frame in wire format.
std::string chunk(const std::string& bytes, bool last) {
  std::string out;
  const auto length = static_cast<std::uint32_t>(bytes.size() + 2);
  for (int i = 0; i < 4; ++i)
    out += static_cast<char>(length >> (24 - 8 * i));
  return out + '\3' + (last ? '\1' : '\0') + bytes;
}
}  // namespace

TEST(Frames, RoundTrip) {
  FeedEntries feed;
  feed.newestIndex = -7;
  feed.entries = {entryAt(1, std::string(kLargeBody, 'z')), entryAt(2)};
  LeaseResponse lease;
  lease.grants = {{"t", 1.5, 2.5}};
  auto buffer = encodeFrame(pack(feed, "x")) + encodeFrame(pack(lease)) + std::string(2, char(0));

  const auto messages = decodeFrames(buffer);

  ASSERT_TRUE(messages);
  ASSERT_EQ(messages->size(), 2U);
  EXPECT_EQ((*messages)[0].sender, "x");
  EXPECT_TRUE((*messages)[1].sender.empty());
  const auto decodedFeed = unpack<FeedEntries>((*messages)[0]);
  ASSERT_TRUE(decodedFeed);
  EXPECT_EQ(decodedFeed->newestIndex, -7);
  EXPECT_EQ(decodedFeed->entries[0].body.size(), kLargeBody);
  const auto decodedLease = unpack<LeaseResponse>((*messages)[1]);
  ASSERT_TRUE(decodedLease);
  EXPECT_DOUBLE_EQ(decodedLease->grants[0].secondsUntilMore, 2.5);
  EXPECT_FALSE(unpack<LeaseRequest>((*messages)[1])) << "a message of another type";
  EXPECT_EQ(buffer.size(), 2U) << "an incomplete frame stays in the buffer";
}
TEST(Frames, InvalidBytesAreRejected) {
  auto otherVersion = frameWith(4, 9);
  EXPECT_FALSE(decodeFrames(otherVersion)) << "another format version";
  std::string huge = "\xff\xff\xff\xff\x01";
  EXPECT_FALSE(decodeFrames(huge));
  auto broken = validFrame();
  for (std::size_t i = 5; i < broken.size(); ++i)
    broken[i] = static_cast<char>(0xff);
  EXPECT_FALSE(decodeFrames(broken));
  auto unknownType = frameWith(5, 99);
  EXPECT_FALSE(decodeFrames(unknownType));
  EXPECT_FALSE(unpack<AgentState>(Envelope{MessageType::agentState, "x", "\xff"}));
  auto longSender = frameWith(6, 200);
  EXPECT_FALSE(decodeFrames(longSender)) << "a sender longer than the frame";
  std::string http = "GET / HTTP/1.1\r\n\r\n";
  EXPECT_FALSE(decodeFrames(http));
}
TEST(Frames, ChunksAreJoinedAndOtherFramesOvertakeThem) {
  FeedSnapshot large;
  large.lastIncludedIndex = 9;
  large.state = std::string(40000, 'q');
  const auto frame = encodeFrame(pack(large));
  const auto bytes =
      chunk(frame.substr(0, 20000), false) + encodeFrame(pack(LeaseResponse{})) + chunk(frame.substr(20000), true);

  // Decodes after every single byte, because the network may deliver the bytes in any portions.
  std::string partial;
  std::string received;
  std::vector<Envelope> messages;
  for (const char byte : bytes) {
    received += byte;
    auto out = decodeFrames(received, &partial);
    ASSERT_TRUE(out);
    for (auto& message : *out)
      messages.push_back(message);
  }

  ASSERT_EQ(messages.size(), 2U);
  EXPECT_EQ(messages[0].type, MessageType::leaseResponse);
  const auto decoded = unpack<FeedSnapshot>(messages[1]);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->lastIncludedIndex, 9);
  EXPECT_EQ(decoded->state.size(), 40000U);
  EXPECT_TRUE(partial.empty());
}
TEST(Frames, InvalidChunksAreRejected) {
  std::string partial;
  auto alone = chunk("x", true);
  EXPECT_FALSE(decodeFrames(alone)) << "where no fragments are expected";
  auto nonsense = chunk("no frame", true);
  EXPECT_FALSE(decodeFrames(nonsense, &partial));
}
