/// A bidirectional message connection to another process of the fleet. Used only on the event loop's thread.
#pragma once
#include "runtime/connection_table.hpp"
#include "runtime/event_loop.hpp"
#include "transport/frame_codec.hpp"
namespace zinccleat::transport {
/// An established connection. Messages are sent in the order of the calls to `send`, and before pending `sendBulk`
/// messages. A message is delivered at most once, and is lost if the connection closes before it was transmitted.
///
/// The link owns itself from `start` until the connection is closed.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  /// Called for each message received, on the link's own fiber.
  using OnMessage = std::function<void(const std::shared_ptr<PeerLink>&, const Envelope&)>;
  /// Called once, after either side has closed the connection.
  using OnClosed = std::function<void(const std::shared_ptr<PeerLink>&)>;
  /// @param socket a connected socket.
  PeerLink(tcp::socket socket, OnMessage onMessage, OnClosed onClosed);
  /// A link that was accepted: what it holds of incomplete frames is reserved.
  PeerLink(std::shared_ptr<runtime::ServedConnection> served, OnMessage onMessage, OnClosed onClosed);
  ~PeerLink();
  /// Starts receiving. Must be called once, when a shared pointer owns the link.
  void start();
  /// Encodes a message and queues it. Does nothing on a closed link.
  void send(const Envelope& envelope);
  /// Queues a frame that `encodeFrame` returned, so that a message for many links is encoded once.
  void sendFrame(std::string_view frame);
  /// Queues a frame that is not urgent and may be large. A large frame is sent in fragments while no other frames are
  /// queued. Bulk frames arrive in the order of these calls. The frame is shared, so that a frame for hundreds of links
  /// is in memory once.
  void sendBulk(std::shared_ptr<const std::string> frame);
  /// Queues a bulk frame that is sent to this link only.
  void sendBulk(std::string frame) { sendBulk(std::make_shared<const std::string>(std::move(frame))); }
  /// Sets the zone of the peer, for which subsequent messages are counted (`trafficByZone`).
  void setPeerZone(const std::string& zone);
  /// Number of queued bytes that the operating system has not accepted yet. Senders of large amounts of data check the
  /// backlog before sending, to bound the memory used for a peer that does not read. A link whose backlog exceeds 48
  /// MiB is closed.
  std::size_t backlog() const;
  /// Closes the connection and drops queued messages.
  void close();
  /// Closes the connection because of an invalid message, logs the reason and counts the event.
  void decline(const std::string& reason);
  /// Whether the connection is open.
  bool open() const;
  /// When bytes were last received; initially the time of the link's construction.
  TimePoint lastReceivedAt() const;
  /// When the first message after the last receipt of bytes was queued; `TimePoint::max()` if none was queued since.
  TimePoint unansweredSince() const;
  /// The IP address of the peer; empty if the socket was not connected.
  std::string remoteIp() const;

 private:
  void receiveMessages();
  /// Reserves memory for incomplete frames. @return false if there was none in time.
  bool reserve(std::size_t receivedBytes, std::size_t fragmentBytes);
  /// Frees the memory of frames if none is incomplete.
  void endReceipt(std::string& received, std::string& fragments);
  /// Closes the link because there is no memory for its frame.
  void refuseFrame(std::size_t bytes);
  void scheduleWrite();
  void fillWriteBuffer();
  void writeNext();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
using PeerLinkPtr = std::shared_ptr<PeerLink>;

/// Calls the handler with the decoded message if the envelope holds a message of type T. Malformed fields close the
/// link.
template <class T, class Handler>
void receive(const PeerLinkPtr& link, const Envelope& envelope, Handler&& handler) {
  if (envelope.type != T::kType)
    return;
  auto message = unpack<T>(envelope);
  if (!message)
    return link->decline(message.error().message);
  handler(std::move(*message));
}
}  // namespace zinccleat::transport
