/// @file
/// The messages between controllers that keep counters in step (anti-entropy by version vectors, as in Bayou: Petersen
/// et al., "Flexible Update Propagation for Weakly Consistent Replication", 1997). Each may be lost, repeated or
/// overtaken by another without harm.
#pragma once
#include "replicated_counters/increments.hpp"
#include "transport/envelope.hpp"
namespace zinccleat::replicated_counters {
/// How far the sender's disk has come. Sent at intervals, and as the acknowledgement of an urgent transfer.
struct ProgressReport {
  static constexpr auto kType = transport::MessageType::counterProgressReport;
  std::string zone;                      ///< of the sender
  std::vector<OriginProgress> progress;  ///< origins that are not listed have nothing on the sender's disk
  template <class V>
  void fields(V& v) {
    v("zone", zone), v("progress", progress);
  }
};
/// Asks for the increments that follow these. Origins that are not listed are not asked for.
struct TransferRequest {
  static constexpr auto kType = transport::MessageType::counterTransferRequest;
  std::vector<OriginProgress> after;
  template <class V>
  void fields(V& v) {
    v("after", after);
  }
};
/// Increments that the receiver lacks.
struct IncrementTransfer {
  static constexpr auto kType = transport::MessageType::counterTransfer;
  bool urgent = false;  ///< a caller waits: to be acknowledged by a `ProgressReport` once it is on the disk
  IncrementBatch batch;
  template <class V>
  void fields(V& v) {
    v("urgent", urgent), v("batch", batch);
  }
};
}  // namespace zinccleat::replicated_counters
