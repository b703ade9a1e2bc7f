/// @file
/// Writes operators' orders, which have no version of their own, so that a late copy of an order does not undo a newer
/// one. A copy is late if this controller stood still or the link delayed it: its caller has sent the order again to
/// another controller meanwhile, and perhaps newer ones after it. Two conditions tell it from a new order:
///
/// - Its caller has closed the connection. This is looked at after the position of the newest order was read, so that
///   the order was still wanted then.
/// - Its entry follows the order at that position (`state_machine::orderId`). If another order was applied meanwhile,
///   the entry has no effect.
#pragma once
#include "api_handlers.hpp"
namespace zinccleat::controller {
class ResponseDeadline;
/// Writes an order, again if another order on the same subject was applied first, as long as the caller waits.
/// @param makeEntry builds the order's entry from the newest state; its operation id is set later.
/// @return the verdict on the order; `ErrorCode::outcomeUnknown` if the caller has left, `ErrorCode::unavailable` if
/// there is no verdict in time.
Result<state_machine::ReplicatedState::Verdict> writeOrder(const ApiCall& call, const ResponseDeadline& deadline,
                                                           const std::function<transport::LogEntry()>& makeEntry);
}  // namespace zinccleat::controller
