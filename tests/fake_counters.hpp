/// @file
/// Replicated counters of a single controller, for test doubles of a controller.
#pragma once
#include "replicated_counters/counter_state.hpp"

namespace zinccleat::controller_testing {
struct FakeCounters {
  replicated_counters::CounterState state;
  bool lacksCopies = false;   ///< no increment is acknowledged in time
  bool isCatchingUp = false;  ///< reads are refused

  Result<void> add(const replicated_counters::Increment& increment) {
    if (lacksCopies)
      return makeError(ErrorCode::outcomeUnknown, "too few copies");
    if (!state.find(increment.instanceId))
      state.append(1, increment);
    return {};
  }
  Result<std::int64_t> total(const std::string& counter) const {
    if (isCatchingUp)
      return makeError(ErrorCode::unavailable, "catching up");
    return state.total(counter);
  }
};
}  // namespace zinccleat::controller_testing
