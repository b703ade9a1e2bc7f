/// Encoding and decoding of the frames on connections within the fleet, without a socket.
#include "transport/frame_codec.hpp"

#include <gtest/gtest.h>

#include "transport/access_messages.hpp"

using namespace zinccleat;
using namespace zinccleat::transport;
namespace {
const std::string kSender = "10.0.0.4#77";
constexpr std::size_t kFormatOffset = 4;
constexpr std::size_t kTypeOffset = 5;
constexpr std::size_t kSenderSizeOffset = 6;

Envelope smallMessage() {
  return pack(HeartbeatBatchResponse{.number = 42}, kSender);
}
/// A message whose frame is split into three fragments.
Envelope largeMessage() {
  return pack(FeedSnapshot{.lastIncludedIndex = 9, .state = std::string(2 * kFragmentBytes + 100, 'q')}, kSender);
}
std::vector<std::string> fragmentsOf(const std::string& frame) {
  std::vector<std::string> fragments;
  for (std::size_t offset = 0; offset < frame.size();)
    offset = appendFragment(fragments.emplace_back(), frame, offset);
  return fragments;
}
/// Builds a frame or fragment with an arbitrary body.
std::string rawFrame(char format, const std::string& body) {
  const auto length = static_cast<std::uint32_t>(body.size() + 1);
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8)
    frame += static_cast<char>(length >> shift);
  return frame + format + body;
}
/// The error code with which `decodeFrames` rejects the bytes; none if it accepts them.
std::optional<ErrorCode> errorOf(std::string received) {
  std::string fragments;
  const auto envelopes = decodeFrames(received, &fragments);
  return envelopes ? std::nullopt : std::optional(envelopes.error().code);
}
/// Decodes bytes that arrive in two reads, and expects that all of them are consumed.
std::vector<Envelope> decodeInTwoReads(const std::string& bytes, std::size_t split) {
  std::string received = bytes.substr(0, split);
  auto envelopes = decodeFrames(received).value();
  received += bytes.substr(split);
  const auto others = decodeFrames(received).value();
  envelopes.insert(envelopes.end(), others.begin(), others.end());
  EXPECT_TRUE(received.empty());
  return envelopes;
}
void expectEqual(const Envelope& actual, const Envelope& expected) {
  EXPECT_EQ(actual.type, expected.type);
  EXPECT_EQ(actual.sender, expected.sender);
  EXPECT_EQ(actual.payload, expected.payload);
}
}  // namespace

TEST(FrameCodec, EncodesTheDocumentedLayout) {
  const auto frame = encodeFrame({MessageType::agentState, "ab", "xyz"});

  const std::string expected{'\0',   '\0', '\0', '\x08', '\x04', static_cast<char>(MessageType::agentState),
                             '\x02', 'a',  'b',  'x',    'y',    'z'};
  EXPECT_EQ(frame, expected);
}

TEST(FrameCodec, DecodesSeveralFramesAndKeepsAnIncompleteOne) {
  const auto incomplete = encodeFrame(smallMessage()).substr(0, 9);
  auto received = encodeFrame(smallMessage()) + encodeFrame(largeMessage()) + incomplete;

  const auto envelopes = decodeFrames(received);

  ASSERT_TRUE(envelopes);
  ASSERT_EQ(envelopes->size(), 2U);
  expectEqual(envelopes->at(0), smallMessage());
  expectEqual(envelopes->at(1), largeMessage());
  EXPECT_EQ(received, incomplete);
}

TEST(FrameCodec, DecodesTheSameForEverySplitOfTheInput) {
  const auto frame = encodeFrame(smallMessage());
  for (std::size_t split = 0; split <= frame.size(); ++split) {
    SCOPED_TRACE(split);
    const auto envelopes = decodeInTwoReads(frame, split);
    ASSERT_EQ(envelopes.size(), 1U);
    expectEqual(envelopes.front(), smallMessage());
  }
}

TEST(FrameCodec, CarriesAnEmptySenderAndTheLongestOne) {
  for (const std::size_t size : {0U, 1U, 127U, 128U, 255U}) {
    const Envelope envelope{MessageType::agentState, std::string(size, 's'), "payload"};
    auto received = encodeFrame(envelope);
    const auto envelopes = decodeFrames(received);
    ASSERT_TRUE(envelopes) << size;
    ASSERT_EQ(envelopes->size(), 1U) << size;
    expectEqual(envelopes->front(), envelope);
  }
}

TEST(FrameCodec, CutsAFrameIntoFragmentsOfBoundedSize) {
  const auto frame = encodeFrame(largeMessage());

  const auto fragments = fragmentsOf(frame);

  ASSERT_EQ(fragments.size(), 3U);
  std::string joined;
  for (std::size_t i = 0; i < fragments.size(); ++i) {
    const auto& fragment = fragments[i];
    EXPECT_EQ(fragment[kFormatOffset], 3);
    EXPECT_EQ(fragment[kFormatOffset + 1], i + 1 == fragments.size() ? 1 : 0) << "whether it is the last";
    joined += fragment.substr(kFormatOffset + 2);
  }
  EXPECT_EQ(joined, frame);
  EXPECT_EQ(fragments[0].size(), kFragmentBytes + 6);
}

TEST(FrameCodec, AFrameThatFillsItsFragmentsLeavesNoEmptyOne) {
  const std::string frame(2 * kFragmentBytes, 'f');

  EXPECT_EQ(fragmentsOf(frame).size(), 2U);
}

TEST(FrameCodec, CompleteFramesOvertakeFragments) {
  const auto fragments = fragmentsOf(encodeFrame(largeMessage()));
  auto received = fragments[0] + encodeFrame(smallMessage()) + fragments[1] + fragments[2];
  std::string gathered;

  const auto envelopes = decodeFrames(received, &gathered);

  ASSERT_TRUE(envelopes);
  ASSERT_EQ(envelopes->size(), 2U);
  expectEqual(envelopes->at(0), smallMessage());
  expectEqual(envelopes->at(1), largeMessage());
  EXPECT_TRUE(received.empty());
  EXPECT_TRUE(gathered.empty());
}

TEST(FrameCodec, GathersFragmentsAcrossCalls) {
  const auto fragments = fragmentsOf(encodeFrame(largeMessage()));
  std::string gathered;
  std::size_t decoded = 0;
  for (auto fragment : fragments) {
    EXPECT_EQ(decoded, 0U) << "before the last fragment";
    const auto envelopes = decodeFrames(fragment, &gathered);
    ASSERT_TRUE(envelopes);
    EXPECT_TRUE(fragment.empty());
    decoded += envelopes->size();
  }
  EXPECT_EQ(decoded, 1U);
}

TEST(FrameCodec, RejectsFramesOfAnotherFormatWithATypedErrorAndCountsThem) {
  const auto before = trafficCounters().framesOfOtherFormats;
  auto frame = encodeFrame(smallMessage());
  frame[kFormatOffset] = 9;

  EXPECT_EQ(errorOf(frame), ErrorCode::incompatibleFormat);
  EXPECT_EQ(errorOf("GET / HTTP/1.1\r\n\r\n"), ErrorCode::corruption) << "the length is out of range";
  EXPECT_EQ(trafficCounters().framesOfOtherFormats, before + 1);
}

TEST(FrameCodec, RejectsFragmentsWhereNoneAreExpected) {
  auto received = fragmentsOf(encodeFrame(largeMessage())).front();

  const auto envelopes = decodeFrames(received);

  ASSERT_FALSE(envelopes);
  EXPECT_EQ(envelopes.error().code, ErrorCode::incompatibleFormat);
  EXPECT_EQ(errorOf(rawFrame(3, '\1' + rawFrame(3, "\1x"))), ErrorCode::incompatibleFormat) << "within a fragment";
}

struct MalformedFrame {
  const char* name;
  std::string bytes;
};
class FrameCodecRejects : public testing::TestWithParam<MalformedFrame> {};
TEST_P(FrameCodecRejects, AsCorrupt) {
  EXPECT_EQ(errorOf(GetParam().bytes), ErrorCode::corruption);
}
std::vector<MalformedFrame> malformedFrames() {
  const auto valid = encodeFrame(smallMessage());
  auto unknownType = valid;
  unknownType[kTypeOffset] = static_cast<char>(static_cast<int>(kLastMessageType) + 1);
  auto typeZero = valid;
  typeZero[kTypeOffset] = 0;
  auto longSender = valid;
  longSender[kSenderSizeOffset] = static_cast<char>(200);
  return {{"LengthZero", std::string("\0\0\0\0\x04", 5)},
          {"LengthBeyondTheBound", std::string("\x02\0\0\1\x04", 5)},
          {"EmptyBody", rawFrame(4, "")},
          {"TypeWithoutSender", rawFrame(4, "\x01")},
          {"UnknownType", unknownType},
          {"TypeZero", typeZero},
          {"SenderLongerThanTheFrame", longSender},
          {"FragmentWithoutFlag", rawFrame(3, "")},
          {"FragmentsThatMakeNoFrame", rawFrame(3, "\1no frame")},
          {"FragmentsThatEndWithinAFrame", rawFrame(3, "\1" + valid.substr(0, valid.size() - 1))}};
}
INSTANTIATE_TEST_SUITE_P(Malformed, FrameCodecRejects, testing::ValuesIn(malformedFrames()),
                         [](const auto& test) { return std::string(test.param.name); });

TEST(FrameCodec, CountsMessagesAndBytesOfEachType) {
  const auto type = static_cast<std::size_t>(MessageType::heartbeatBatchResponse);
  const auto before = trafficCounters();

  auto received = encodeFrame(smallMessage());
  const auto bytes = received.size();
  ASSERT_TRUE(decodeFrames(received));

  const auto& after = trafficCounters();
  EXPECT_EQ(after.sent[type].messages, before.sent[type].messages + 1);
  EXPECT_EQ(after.sent[type].bytes, before.sent[type].bytes + bytes);
  EXPECT_EQ(after.received[type].messages, before.received[type].messages + 1);
  EXPECT_EQ(after.received[type].bytes, before.received[type].bytes + bytes);
}
