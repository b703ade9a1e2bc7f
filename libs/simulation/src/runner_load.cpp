#include "runner_load.hpp"

#include "runtime/event_loop.hpp"

namespace zinccleat::simulation {
namespace {
constexpr Duration kHeartbeatInterval{1200};
constexpr auto kCallTimeout = 1000ms;
constexpr auto kDrainTime = 300ms;
constexpr std::size_t kAddressesPerSubnet = 250;

// Nothing listens there: the controllers never connect to runners.
std::string addressOf(std::size_t number) {
  return "10.9." + std::to_string(number / kAddressesPerSubnet) + "." +
         std::to_string(number % kAddressesPerSubnet + 1) + ":8080";
}
std::string idOf(std::size_t number) {
  return "i-" + std::to_string(number);
}
}  // namespace

void RunnerLoad::start(int runners) {
  for (std::size_t number = 0; number < static_cast<std::size_t>(runners); ++number)
    runtime::EventLoop::get().spawn([this, number] { run({number, idOf(number), addressOf(number)}); });
}
void RunnerLoad::run(Runner runner) {
  auto& loop = runtime::EventLoop::get();
  // Real runners do not send their heartbeats in step.
  loop.sleepFor(Duration(random_() % static_cast<std::uint64_t>(kHeartbeatInterval.count())));
  while (!stopped_) {
    sendHeartbeat(runner);
    loop.sleepFor(kHeartbeatInterval);
    if (departuresDue_ <= 0)
      continue;
    --departuresDue_;
    leave(runner);
    rejoin(runner);
  }
}
void RunnerLoad::sendHeartbeat(Runner& runner) {
  const auto call = heartbeatCall(runner.id, R"({"targetService":"models","address":")" + runner.address +
                                                 R"(","zone":"z","configVersion":"v1","capacity":8,)"
                                                 R"("state":"in_service","warmupLeftMs":0,"sequence":)" +
                                                 std::to_string(++runner.sequence) + "}");
  heartbeats_.add(isAcknowledged(operations::callOne(fleet_.control(runner.number), call, kCallTimeout)));
}
void RunnerLoad::leave(Runner& runner) {
  const auto draining = heartbeatCall(runner.id, R"({"targetService":"models","address":")" + runner.address +
                                                     R"(","zone":"z","capacity":8,"state":"draining","sequence":)" +
                                                     std::to_string(++runner.sequence) + "}");
  const bool drained = isAcknowledged(operations::callOne(fleet_.control(runner.number), draining, kCallTimeout));
  runtime::EventLoop::get().sleepFor(kDrainTime);
  // Another controller than before, since any of them must take it.
  const auto detached = operations::callOne(fleet_.control(runner.number + 1), detachCall(runner.id), kCallTimeout);
  departures_.add(drained && isAcknowledged(detached));
}
void RunnerLoad::rejoin(Runner& runner) {
  runner.id = idOf(runner.number) + "-" + std::to_string(++rejoined_);
  runner.sequence = 0;
}
}  // namespace zinccleat::simulation
