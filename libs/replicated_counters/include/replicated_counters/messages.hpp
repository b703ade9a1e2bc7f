/// @file
/// The messages with which controllers synchronize counters (anti-entropy with version vectors, as in Bayou: Petersen
/// et al., "Flexible Update Propagation for Weakly Consistent Replication", 1997). Messages may be lost, duplicated or
/// reordered.
#pragma once
#include "replicated_counters/increments.hpp"
#include "transport/envelope.hpp"
namespace zinccleat::replicated_counters {
/// The progress on the sender's disk. Sent periodically, and to acknowledge an urgent transfer.
struct ProgressReport {
  static constexpr auto kType = transport::MessageType::counterProgressReport;
  std::string zone;                      ///< zone of the sender
  std::vector<OriginProgress> progress;  ///< the sender has no durable increments of origins that are not listed
  template <class V>
  void fields(V& v) {
    v("zone", zone), v("progress", progress);
  }
};
/// Requests the increments after these positions. Only increments of the listed origins are requested.
struct TransferRequest {
  static constexpr auto kType = transport::MessageType::counterTransferRequest;
  std::vector<OriginProgress> after;
  template <class V>
  void fields(V& v) {
    v("after", after);
  }
};
/// Increments that the receiver is missing.
struct IncrementTransfer {
  static constexpr auto kType = transport::MessageType::counterTransfer;
  bool urgent = false;  ///< a caller is waiting: the receiver answers with a `ProgressReport` once the batch is durable
  IncrementBatch batch;
  template <class V>
  void fields(V& v) {
    v("urgent", urgent), v("batch", batch);
  }
};
}  // namespace zinccleat::replicated_counters
