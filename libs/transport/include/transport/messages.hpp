/// What several messages of the system's own processes are made of.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::transport {
enum class OperationKind : std::int32_t {
  noOp = 0,
  configuration = 1,
  runner = 2,
  members = 3,
  zoneDrain = 4,
  difference = 5
};

// One numbered write: the operation and its parameters.
struct LogEntry {
  std::int64_t index = 0, term = 0;
  std::int32_t kind = 0;
  std::int64_t base = 0;    // configuration: the version it builds on
  std::string operationId;  // a write sent again is one write
  std::string digest;       // of the body, for large writes
  std::string body;
  bool omitted = false;  // the body went ahead from its sender
  template <class V>
  void fields(V& v) {
    v("index", index), v("term", term), v("kind", kind), v("base", base), v("operationId", operationId),
        v("digest", digest);
    v("body", body), v("omitted", omitted);
  }
  OperationKind op() const { return static_cast<OperationKind>(kind); }
};
}  // namespace zinccleat::transport
