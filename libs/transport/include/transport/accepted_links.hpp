/// @file
/// The links that a process accepts from other processes of the fleet: how many there are, and how much of incomplete
/// frames all of them hold together. When either is full, links make way as `runtime::ConnectionTable` describes.
#pragma once
#include "transport/peer_link.hpp"
namespace zinccleat::transport {
/// Limits of `AcceptedLinks`.
struct AcceptedLinkLimits {
  int links = 1 << 16;
  std::size_t frameBytes = std::size_t{1} << 40;  ///< of incomplete frames, for all links together

  /// The limits of a process with these limits of its own; 0 stands for no limit.
  static AcceptedLinkLimits of(int memoryMb, int fdLimit);
};
/// Accepts links at any number of ports of one process.
class AcceptedLinks {
 public:
  explicit AcceptedLinks(AcceptedLinkLimits limits = {});
  /// Starts a link on an accepted socket. If there are too many links, a late one makes way; if none is late, the
  /// socket is closed.
  void accept(tcp::socket socket, PeerLink::OnMessage onMessage);
  /// Number of open links.
  int size() const;
  /// Bytes that are reserved for incomplete frames.
  std::size_t reservedBytes() const;

 private:
  struct State;
  std::shared_ptr<State> state_;  // shared with the links, which may outlive this object
};
}  // namespace zinccleat::transport
