#include "order_writer.hpp"

#include "api_responses.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
// After a delay of the link, the close of an abandoned connection arrives a round trip behind the call, because the
// caller's machine sends them again one after the other.
constexpr Duration kCloseArrivalTimeout{100};
}  // namespace

Result<state_machine::ReplicatedState::Verdict> writeOrder(const ApiCall& call, const ResponseDeadline& deadline,
                                                           const std::function<transport::LogEntry()>& makeEntry) {
  auto& services = call.services;
  auto closeArrival = kCloseArrivalTimeout;
  while (deadline.left() > Duration(0)) {
    auto entry = makeEntry();
    entry.operationId = services.nextOperationId();
    const auto subject = state_machine::orderSubjectOf(entry);
    const auto content = state_machine::orderContentOf(entry);
    const auto& orders = services.replica().state().orders;
    const auto base = orders.newest(subject).index;
    if (call.callerHasLeft(std::exchange(closeArrival, Duration(0)))) {
      log::info("order_abandoned", {{"subject", subject}});
      return tl::unexpected(callerLeftError());
    }
    auto written = services.writeOrder(std::move(entry), base, deadline.left());
    if (!written || orders.newest(subject).content == content)
      return written;
    log::info("order_overtaken", {{"subject", subject}, {"base", base}});
  }
  return makeError(ErrorCode::unavailable, "other orders came first");
}
}  // namespace zinccleat::controller
