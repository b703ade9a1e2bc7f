#include "request_load.hpp"

namespace zinccleat::simulation {
namespace {
constexpr auto kTurn = 2ms;
constexpr double kMinRequestsPerS = 0.001;
}  // namespace

void RequestLoad::start() {
  if (plan_.requestsPerS <= 0)
    return;
  runtime::EventLoop::get().spawn([this, begin = Clock::now()] { run(begin); });
}
void RequestLoad::run(TimePoint begin) {
  std::exponential_distribution<double> gapS(std::max(kMinRequestsPerS, plan_.requestsPerS));
  std::chrono::duration<double> due{0};  // of the next request, since `begin`
  while (!stopped_) {
    // All that are due by now in one turn: a timer for each request would cost more than the request itself.
    while (begin + std::chrono::duration_cast<Clock::duration>(due) <= Clock::now()) {
      makeRequest();
      due += std::chrono::duration<double>(gapS(random_));
    }
    runtime::EventLoop::get().sleepFor(kTurn);
  }
}
void RequestLoad::makeRequest() {
  auto& node = *nodes_[random_() % nodes_.size()];
  node.request("tenant-" + std::to_string(random_() % static_cast<std::uint64_t>(plan_.tenants)));
}
}  // namespace zinccleat::simulation
