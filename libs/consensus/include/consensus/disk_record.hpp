/// What a member of the replicated log keeps on its disk: one record for each change of what must survive a restart.
#pragma once
#include "transport/messages.hpp"
namespace zinccleat::consensus {
/// Records have sequence numbers without gaps. A full record holds everything; any other one holds what came on top of
/// the record before it. Term, vote and identity stand in every record.
struct DiskRecord {
  std::int64_t seq = 0;          ///< the record's sequence number on this disk, from 1
  std::int64_t term = 0;         ///< the newest term that this member has seen
  std::int64_t lastLedTerm = 0;  ///< the newest term in which this member was the leader; 0: none
  std::string self;              ///< this disk's identity
  std::string votedFor;          ///< who got this member's vote in `term`; empty: nobody
  bool full = false;
  /// The last entry that a full record's snapshot covers.
  std::int64_t snapshotIndex = 0, snapshotTerm = 0;
  std::string snapshotConfig;  ///< see `encodeConfig`
  std::string state;           ///< a full record's snapshot: the applied state
  /// Where `entries` begin: they replace everything at and after this index; 0: there are none.
  std::int64_t fromIndex = 0;
  std::vector<transport::LogEntry> entries;
  /// Lists the fields for the serializer, in the order in which they are stored.
  template <class V>
  void fields(V& v) {
    v("seq", seq), v("term", term), v("lastLedTerm", lastLedTerm), v("self", self), v("votedFor", votedFor);
    v("full", full), v("snapshotIndex", snapshotIndex), v("snapshotTerm", snapshotTerm);
    v("snapshotConfig", snapshotConfig), v("state", state), v("fromIndex", fromIndex), v("entries", entries);
  }
};
}  // namespace zinccleat::consensus
