/// Types that several messages are made of.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// What a log entry does to the replicated state. The numbers are part of the wire and disk formats.
enum class OperationKind : std::int32_t {
  noOp = 0,                ///< commits the entries before it at the beginning of a term
  configuration = 1,       ///< replaces the configuration
  runner = 2,              ///< what a runner reported
  membership = 3,          ///< the consensus group's membership
  zoneDrain = 4,           ///< begins, changes or ends the drain of a zone
  configurationDelta = 5,  ///< replaces the configuration by a delta to an earlier version
  rolloutBegin = 6,        ///< an operator has a service's traffic moved to another revision
  rolloutProgress = 7,     ///< how far a rollout has come
  coordination = 8,        ///< a batch of commands; in the logs of the coordination service only
  shardsFounded = 9,       ///< who founds the logs of the coordination service, agreed on once
  zoneEvacuation = 10,     ///< begins or ends the evacuation of a zone
  usageReport = 11,        ///< what the platform is told of a window's usage; controllers only, see `AgentSessions`
  usageConfirmed = 12,     ///< the platform has the report of a window
};

/// One entry of the replicated log.
struct LogEntry {
  std::int64_t index = 0;
  std::int64_t term = 0;
  std::int32_t kind = 0;    ///< an `OperationKind`
  std::int64_t base = 0;    ///< of a configuration: the version that it builds on
  std::string operationId;  ///< the same in each repetition of a write, which is applied once
  std::string digest;       ///< of the body; empty for small writes
  std::string body;         ///< the operation's parameters
  bool omitted = false;     ///< the body is not in this message: its sender sent it before (`BodyAhead`)
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
  /// The kind, as its type.
  OperationKind op() const { return static_cast<OperationKind>(kind); }
};
}  // namespace zinccleat::transport
