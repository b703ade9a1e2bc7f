/// @file
/// The accepted connections of a process: what each of them holds, and which of them makes way when places or memory
/// have run out.
///
/// Each connection is charged with a fixed number of bytes for its stack, its buffers, a header of the usual size and
/// what the kernel holds unread for it; the number of connections is limited so that these bytes fit. What a connection
/// holds beyond that is reserved from one `MemoryBudget` for the whole process, whatever part of a message it is.
///
/// What the operating system holds for them is limited by a `SocketBufferBudget`.
///
/// When places or memory are full, connections that are late make way, the one that is late for the longest time first:
/// connections whose peer sends a message, or reads an answer, more slowly than `TransferProgress` requires, and
/// connections that have been idle for long. For a place, less patience is had with a peer that has not sent a whole
/// header, and a peer that has had no answer yet makes way before one that has. A connection whose request is being
/// answered makes way only if its client does not read. Without pressure a late connection stays until its own time
/// limits end it.
#pragma once
#include <boost/intrusive/list.hpp>

#include "runtime/connection.hpp"
#include "runtime/memory_budget.hpp"
namespace zinccleat::runtime {
/// What the owner of a connection waits for.
enum class ConnectionPhase : std::uint8_t {
  receiving,  ///< the header of the peer's message, from its first byte or, on a new connection, from the start
  receivingBody,
  idle,     ///< the first byte of a further message
  serving,  ///< nothing of the peer's, except that it reads the answer
};
class ConnectionTable;

/// An accepted connection and the memory that it holds beyond its fixed charge. The table must outlive it.
class ServedConnection
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  /// The part of the fixed charge that covers the header and the buffer of a message.
  static constexpr std::size_t kChargedMessageBytes = std::size_t{16} * 1024;
  /// How long a connection may rest before it counts as late.
  static constexpr Duration kMaxRest{5000};
  /// The pause within a header after which a connection makes way for a place: a cut of a second, and a second until
  /// TCP sends again.
  static constexpr Duration kMaxHeaderPause{2200};

  /// @param buffers  for larger socket buffers; null: the connection keeps those of its listener
  ServedConnection(ConnectionTable& table, MemoryBudget& budget, tcp::socket socket,
                   SocketBufferBudget* buffers = nullptr);
  ServedConnection(const ServedConnection&) = delete;
  ServedConnection& operator=(const ServedConnection&) = delete;
  Connection& connection() { return connection_; }
  MemoryReservation& memory() { return memory_; }
  /// Begins a phase. The peer's progress is measured anew from now.
  void enter(ConnectionPhase phase);
  /// Enlarges the reservation to a number of bytes. While the budget has no room, late connections make way, and the
  /// calling fiber waits.
  /// @param wait  maximum time to wait
  /// @return false, without an effect, if there was no room in time.
  bool reserve(std::size_t bytes, Duration wait);
  /// Prepares to read a message of this size from the peer, so that a large one takes few reads if there is room.
  void prepareToRead(std::size_t bytes);
  /// Prepares to write a message of this size to the peer.
  void prepareToWrite(std::size_t bytes);
  /// Whether the connection may make way: it is open, and waits for its peer.
  bool awaitsPeer() const;
  /// The time from which the connection is late, if a place or, otherwise, memory is needed.
  TimePoint due(bool forPlace) const;
  /// Whether the peer has had an answer on this connection.
  bool answered() const { return answered_; }
  /// Whether bytes of the peer have arrived that its owner waits for and has not read.
  bool hasUnreadBytes();
  /// Closes the connection, so that its owner ends.
  void evict();

 private:
  ConnectionTable& table_;
  Connection connection_;
  MemoryReservation memory_;
  SocketBufferBudget* buffers_;
  ConnectionPhase phase_ = ConnectionPhase::receiving;
  bool answered_ = false;
  bool waitsForMemory_ = false;
};

/// The connections that one process has accepted; see the file comment. Used on the event loop's thread.
class ConnectionTable {
 public:
  ConnectionTable() = default;
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;
  /// Evicts the connection that is late for the longest time, for the sake of a new connection.
  /// @return false if none is late.
  bool evictForPlace();
  /// Evicts the connection that is late, or will be late, first. For ports where a peer has no reason to wait between
  /// its connection and its message.
  /// @return false if no connection may make way.
  bool evictSlowest();
  /// Evicts, of the late connections that hold reserved memory, the one that is late for the longest time.
  /// @return false if there is none.
  bool evictForMemory();
  /// Number of connections evicted since the process started.
  std::uint64_t evicted() const { return evicted_; }

 private:
  friend class ServedConnection;
  ServedConnection* findLatest(TimePoint now, bool holdsMemory);
  bool evictLatest(bool holdsMemory);
  void evict(ServedConnection& connection, std::string_view reason);
  boost::intrusive::list<ServedConnection, boost::intrusive::constant_time_size<false>> connections_;
  TimePoint noneLateBefore_{};  ///< the search need not be repeated before this time
  std::uint64_t evicted_ = 0;
};
}  // namespace zinccleat::runtime
