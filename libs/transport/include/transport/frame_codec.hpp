/// Encoding and incremental decoding of the frames that carry messages over a connection. The functions perform no
/// input or output; their only side effect is to update the traffic counters.
///
/// Layout of a frame, integers in big-endian order:
///
///     length (4)   number of bytes that follow
///     format (1)   4; a connection that sends frames of another format is closed
///     type (1)     `MessageType`
///     size (1)     length of the sender's identity
///     sender       the sender's identity
///     payload      the message's fields, as `avro::encode` writes them
///
/// A large frame that is not urgent is sent in fragments, so that urgent frames can be sent in between. Layout of a
/// fragment:
///
///     length (4)   number of bytes that follow
///     format (1)   3
///     last (1)     1 in the last fragment of a frame, else 0
///     part         the next bytes of the complete frame, which includes the header of the frame
///
/// The fragments of one frame arrive in order; complete frames may arrive between them.
#pragma once
#include "transport/envelope.hpp"
namespace zinccleat::transport {
/// Maximum payload of a fragment. Frames up to this size are not split.
constexpr std::size_t kFragmentBytes = std::size_t{16} * 1024;

/// Encodes a message as a complete frame, and adds the frame to the counters of sent messages.
std::string encodeFrame(const Envelope& envelope);
/// The message type of a complete frame that `encodeFrame` returned.
MessageType typeOf(std::string_view frame);
/// Appends the next fragment of a frame.
/// @param out the buffer to which the fragment is appended.
/// @param frame the complete frame.
/// @param offset the number of frame bytes in earlier fragments; less than the size of the frame.
/// @return the offset of the next fragment; equal to the size of the frame after the last fragment.
std::size_t appendFragment(std::string& out, std::string_view frame, std::size_t offset);
/// Decodes all complete frames in a receive buffer and removes them; an incomplete frame at the end remains.
/// @param received the received bytes in order of arrival.
/// @param fragments accumulates the fragments of an incomplete frame between calls; if null, a fragment is an error.
/// @return the messages in order of completion. After an error, the remaining bytes of the connection cannot be
/// decoded: `ErrorCode::incompatibleFormat` for frames of another format, `ErrorCode::corruption` for all other errors.
Result<std::vector<Envelope>> decodeFrames(std::string& received, std::string* fragments = nullptr);

/// The numbers of messages and bytes that this process has encoded and decoded since its start. Bytes include the frame
/// headers.
struct Traffic {
  /// The numbers for one message type.
  struct Count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  /// An upper bound of the values of `MessageType`. Index 0 counts messages of unknown types.
  static constexpr std::size_t kTypes = 64;
  Count sent[kTypes];
  Count received[kTypes];
  std::uint64_t framesDeclined = 0;        ///< connections closed because of an invalid message
  std::uint64_t framesOfOtherFormats = 0;  ///< of these, connections closed because of a frame of another format
};
/// The counters of this process.
const Traffic& trafficCounters();
/// Counts a connection that was closed because of an invalid message.
void countDeclinedFrame();
}  // namespace zinccleat::transport
