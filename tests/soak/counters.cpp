// Applications that increment replicated counters. Each increment has a unique id and is repeated until it is
// acknowledged, up to `kMaxAttempts` times. At the end of the run, the totals of all controllers are checked.
#include "config/json.hpp"
#include "operations/call.hpp"
#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kReadTimeout{1000};
constexpr Duration kRetryInterval{30};
constexpr Duration kReadBackTimeout{5000};
constexpr int kCounters = 3;
constexpr int kMaxAttempts = 8;
constexpr int kOk = 200;
constexpr std::uint64_t kMaxAmount = 9;

std::string counterName(std::uint64_t number) {
  return "counter" + std::to_string(number);
}
std::optional<std::int64_t> readTotal(const std::string& address, const std::string& counter) {
  const auto response = operations::callOne(address, {"GET", "/v1/Tallies.Retrieve/" + counter, "", {}}, kReadTimeout);
  if (!response || response->status != kOk)
    return std::nullopt;
  config::JsonDocument document(response->body);
  config::JsonObject root;
  std::int64_t total = -1;
  config::JsonReader reader;
  if (document.object(root))
    reader.integer(root, "total", total, config::Presence::required);
  return total;
}
struct Increment {
  std::string counter;
  std::int64_t amount = 0;
  std::string instanceId;
};
/// Draws an increment, which counts as sent from now on.
Increment drawIncrement(SoakRun& run, const std::string& instanceId) {
  const auto counter = counterName(run.draw(kCounters));
  const auto amount = static_cast<std::int64_t>(1 + run.draw(kMaxAmount));
  run.sentIncrements[counter] += amount;
  return {counter, amount, instanceId};
}
/// Sends an increment to one controller. @return whether the controller acknowledged it.
bool send(const std::string& address, const Increment& increment) {
  const auto body =
      "{\"instanceId\":\"" + increment.instanceId + "\",\"actor\":" + std::to_string(increment.amount) + "}";
  const auto response =
      operations::callOne(address, {"POST", "/v1/Tallies.Modify/" + increment.counter, body, {}}, kIncrementTimeout);
  return response && response->status == kOk;
}
void sendIncrement(SoakRun& run, const std::string& instanceId) {
  const auto increment = drawIncrement(run, instanceId);
  bool acknowledged = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (send(run.randomControllerAddress(), increment)) {
      if (!std::exchange(acknowledged, true))
        run.acknowledgedIncrements[increment.counter] += increment.amount;
      // Sometimes sends an acknowledged increment again, like a caller that did not receive the response.
      if (run.draw(4) != 0)
        return;
    }
    runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
}
void sendIncrementsUntilLoadEnds(SoakRun& run, int number) {
  for (int increment = 0; run.loadActive; ++increment) {
    runtime::EventLoop::get().sleepFor(run.drawDuration(5ms, 120ms));
    sendIncrement(run, "application" + std::to_string(number) + "-" + std::to_string(increment));
  }
}
/// Reads a counter from one controller until the total is between the acknowledged and the sent sum. After
/// `kReadBackTimeout` the counter is recorded in `SoakRun::failedFinalReads`.
void readUntilConsistent(SoakRun& run, const std::string& address, const std::string& counter) {
  const auto sent = run.sentIncrements[counter];
  const auto acknowledged = run.acknowledgedIncrements[counter];
  std::optional<std::int64_t> total;
  for (const auto end = Clock::now() + kReadBackTimeout; Clock::now() < end;
       runtime::EventLoop::get().sleepFor(kRetryInterval)) {
    total = readTotal(address, counter);
    if (total && *total >= acknowledged && *total <= sent)
      return;
  }
  run.failedFinalReads.push_back(counter + " at " + address + ": " + (total ? std::to_string(*total) : "nothing") +
                                 ", acknowledged " + std::to_string(acknowledged) + ", sent " + std::to_string(sent));
}
}  // namespace

bool sendIncrementOnce(SoakRun& run, const std::string& address, const std::string& instanceId) {
  const auto increment = drawIncrement(run, instanceId);
  const bool acknowledged = send(address, increment);
  if (acknowledged)
    run.acknowledgedIncrements[increment.counter] += increment.amount;
  return acknowledged;
}
void startCounterApplications(SoakRun& run) {
  for (int number = 0; number < run.plan.applications / 2; ++number)
    run.spawn([&run, number] { sendIncrementsUntilLoadEnds(run, number); });
}
void readBackCounters(SoakRun& run) {
  for (std::size_t controller = 0; controller < run.fleet.core().size(); ++controller)
    for (std::uint64_t counter = 0; counter < kCounters; ++counter)
      run.spawn([&run, address = run.fleet.control(controller), name = counterName(counter)] {
        readUntilConsistent(run, address, name);
      });
}
}  // namespace zinccleat::soak
