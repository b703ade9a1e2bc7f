/// One connection to another process of the fleet, carrying messages both ways. Used on the event loop's thread only.
#pragma once
#include "runtime/event_loop.hpp"
#include "transport/frame_codec.hpp"
namespace zinccleat::transport {
/// A connection in use. Messages leave in the order of `send`; those of `sendBulk` are overtaken by all others. A
/// message is delivered at most once, and is lost if the connection closes before it has left.
///
/// The link keeps itself alive from `start` until the connection is closed.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  /// Called for each message received, on the link's own fiber.
  using OnMessage = std::function<void(const std::shared_ptr<PeerLink>&, const Envelope&)>;
  /// Called once, after the connection was closed by either end.
  using OnClosed = std::function<void(const std::shared_ptr<PeerLink>&)>;
  /// @param socket a connected socket.
  PeerLink(tcp::socket socket, OnMessage onMessage, OnClosed onClosed);
  ~PeerLink();
  /// Starts receiving. Call once, after the link is owned by a shared pointer.
  void start();
  /// Encodes a message and queues it. Nothing happens on a closed link.
  void send(const Envelope& envelope);
  /// Queues a frame that `encodeFrame` made: for one message to many links.
  void sendFrame(std::string_view frame);
  /// Queues a frame that may be large and is not urgent; a large one leaves in fragments while nothing else is queued.
  /// Bulk frames arrive in the order of these calls. Shared, so that a frame for hundreds of links is in memory once.
  void sendBulk(std::shared_ptr<const std::string> frame);
  /// The same for a frame for one link.
  void sendBulk(std::string frame) { sendBulk(std::make_shared<const std::string>(std::move(frame))); }
  /// Says in which zone the other end stands: what is sent from now on is counted for it (`trafficByZone`).
  void setPeerZone(const std::string& zone);
  /// Bytes queued that the operating system has not accepted yet. A sender of much data looks at it first, so that a
  /// peer that does not read costs a bounded amount of memory. A link whose backlog exceeds 48 MiB is closed.
  std::size_t backlog() const;
  /// Closes the connection; what is queued is dropped.
  void close();
  /// Closes the connection over a message that cannot be accepted; logs the reason and counts it.
  void decline(const std::string& reason);
  /// Whether the connection is open.
  bool open() const;
  /// When bytes last arrived; the link's construction before that.
  TimePoint lastReceivedAt() const;
  /// When the oldest message was queued since which nothing has been received; `TimePoint::max()` if there is none.
  TimePoint unansweredSince() const;
  /// The IP address of the other end; empty if the socket was not connected.
  std::string remoteIp() const;

 private:
  void receiveMessages();
  void scheduleWrite();
  void fillWriteBuffer();
  void writeNext();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
using PeerLinkPtr = std::shared_ptr<PeerLink>;

/// Calls the handler with the message if the envelope holds one of type T. Fields that do not parse close the link.
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
