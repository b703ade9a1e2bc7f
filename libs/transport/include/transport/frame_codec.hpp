/// The frames that carry messages over a connection: encoding and incremental decoding. Pure except for the counters;
/// no socket is touched.
///
/// A frame, integers big-endian:
///
///     length (4)   bytes that follow
///     format (1)   4; a connection that sends frames of another format is closed
///     type (1)     `MessageType`
///     size (1)     length of the sender's identity
///     sender       the sender's identity
///     payload      the message's fields, as `avro::encode` writes them
///
/// A large frame that is not urgent travels in fragments, so that urgent frames can overtake it. A fragment:
///
///     length (4)   bytes that follow
///     format (1)   3
///     last (1)     1 in the last fragment of a frame, else 0
///     part         the next bytes of the complete frame, its own head included
///
/// The fragments of one frame arrive in order; complete frames may stand between them.
#pragma once
#include "transport/envelope.hpp"
namespace zinccleat::transport {
/// Payload of one fragment. Frames up to this size are never split.
constexpr std::size_t kFragmentBytes = std::size_t{16} * 1024;

/// Encodes a message as one complete frame and counts it as sent.
std::string encodeFrame(const Envelope& envelope);
/// The type of the message in a complete frame that `encodeFrame` made.
MessageType typeOf(std::string_view frame);
/// Appends the next fragment of a frame.
/// @param out where the fragment is appended.
/// @param frame the complete frame.
/// @param offset how many bytes of the frame were sent before; less than its size.
/// @return the offset of the fragment that follows; the frame's size if this was the last.
std::size_t appendFragment(std::string& out, std::string_view frame, std::size_t offset);
/// Takes all complete frames off the front of what was received; an incomplete one stays.
/// @param received bytes in order of arrival.
/// @param fragments gathers the fragments of an unfinished large frame between calls; without it a fragment is an
/// error.
/// @return the messages in order of completion. After an error the connection's bytes cannot be interpreted any
/// further: `ErrorCode::incompatibleFormat` for frames of another format, `ErrorCode::corruption` for everything else.
Result<std::vector<Envelope>> decodeFrames(std::string& received, std::string* fragments = nullptr);

/// What this process has encoded and decoded since its start, frames included.
struct Traffic {
  /// Of one type of message.
  struct Count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  /// Room for every `MessageType`; index 0 counts what has no known type.
  static constexpr std::size_t kTypes = 64;
  Count sent[kTypes];
  Count received[kTypes];
  std::uint64_t framesDeclined = 0;        ///< connections closed over a message that could not be accepted
  std::uint64_t framesOfOtherFormats = 0;  ///< of these, over a frame of another format
};
/// The counters of this process.
const Traffic& trafficCounters();
/// Counts a connection that was closed over a message.
void countDeclinedFrame();
}  // namespace zinccleat::transport
