/// Types that several messages contain.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// The operation that a log entry performs on the replicated state. The values are part of the wire and disk formats.
enum class OperationKind : std::int32_t {
  noOp = 0,                ///< appended by a new leader to commit the entries of earlier terms
  configuration = 1,       ///< replaces the configuration
  runner = 2,              ///< updates the state that a runner reported
  membership = 3,          ///< changes the membership of the consensus group
  zoneDrain = 4,           ///< begins, changes or ends the drain of a zone
  configurationDelta = 5,  ///< replaces the configuration, given as a delta to an earlier version
  rolloutBegin = 6,        ///< begins an operator's rollout of another revision of a service
  rolloutProgress = 7,     ///< updates the progress of a rollout
  coordination = 8,        ///< a batch of commands; only in the logs of the coordination service
  shardsFounded = 9,       ///< records, once only, the founding members of the coordination service's logs
  zoneEvacuation = 10,     ///< begins or ends the evacuation of a zone
  usageReport = 11,        ///< the usage report of a window for the platform; controllers only, see `AgentSessions`
  usageConfirmed = 12,     ///< the platform has received the report of a window
};

/// One entry of the replicated log.
struct LogEntry {
  std::int64_t index = 0;
  std::int64_t term = 0;
  std::int32_t kind = 0;    ///< an `OperationKind`
  std::int64_t base = 0;    ///< for a configuration: the version that the change is based on
  std::string operationId;  ///< identifies the write; repetitions with the same id are applied once
  std::string digest;       ///< digest of the body; empty for small writes
  std::string body;         ///< parameters of the operation
  bool omitted = false;     ///< the body is not in this message, because the sender sent it before (`BodyAhead`)
  template <class V>
  void fields(V& v) {
    v("index", index);
    v("term", term);
    v("kind", kind);
    v("base", base);
    v("operationId", operationId);
    v("digest", digest);
    v("body", body);
    v("omitted", omitted);
  }
  /// The kind as an `OperationKind`.
  OperationKind op() const { return static_cast<OperationKind>(kind); }
};
}  // namespace zinccleat::transport
