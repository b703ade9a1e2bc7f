/// The durable state of a member of the replicated log: one record for each change of the state that must survive a
/// restart.
#pragma once
#include "transport/messages.hpp"
namespace zinccleat::consensus {
/// Records have consecutive sequence numbers. A full record contains the complete state; any other record is an
/// increment on the record before it. Every record contains the term, the vote and the identity.
struct DiskRecord {
  std::int64_t seq = 0;          ///< the record's sequence number on this disk, from 1
  std::int64_t term = 0;         ///< the newest term that this member has seen
  std::int64_t lastLedTerm = 0;  ///< the newest term in which this member was the leader; 0: none
  std::string self;              ///< this disk's identity
  std::string votedFor;          ///< the candidate that this member voted for in `term`; empty: none
  bool full = false;
  /// The last entry that the snapshot of a full record covers.
  std::int64_t snapshotIndex = 0, snapshotTerm = 0;
  std::string snapshotConfig;  ///< see `encodeConfig`
  std::string state;           ///< the applied state in the snapshot of a full record
  /// The index of the first of `entries`, which replace all log entries from this index on; 0: there are no entries.
  std::int64_t fromIndex = 0;
  std::vector<transport::LogEntry> entries;
  /// Lists the fields for the serializer, in storage order.
  template <class V>
  void fields(V& v) {
    v("seq", seq), v("term", term), v("lastLedTerm", lastLedTerm), v("self", self), v("votedFor", votedFor);
    v("full", full), v("snapshotIndex", snapshotIndex), v("snapshotTerm", snapshotTerm);
    v("snapshotConfig", snapshotConfig), v("state", state), v("fromIndex", fromIndex), v("entries", entries);
  }
};
}  // namespace zinccleat::consensus
