// Crowds of clients that do not behave: they send messages without end or short of it, or stay idle, at every port,
// while the other clients go on.
#include "crowds/crowd_cases.hpp"
#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kMinStay{500};
constexpr Duration kMaxStay{4000};
constexpr Duration kMaxPause{2000};
constexpr int kLimitsFactor = 3;  // by which a soak's processes have more memory than those of `zinccleat_crowds`

using crowds::Port;

std::string addressOf(SoakRun& run, Port port) {
  const auto machine = static_cast<int>(run.draw(static_cast<std::uint64_t>(run.plan.access)));
  const auto controller = run.draw(run.fleet.core().size());
  const auto agent = run.fleet.core().size() + 2 * static_cast<std::size_t>(machine);
  switch (port) {
    case Port::access:
      return run.fleet.access(machine);
    case Port::readiness:
      return run.fleet.readiness(machine);
    case Port::control:
      return run.fleet.control(controller);
    case Port::agent:
      return run.fleet.listeningAddresses(agent).front();
    case Port::consensus:
      return run.fleet.listeningAddresses(controller)[1];
    case Port::coordination:
      return run.fleet.listeningAddresses(controller)[2];
    case Port::counters:
      return run.fleet.listeningAddresses(controller)[3];
  }
  return {};
}
void sendCrowds(SoakRun& run) {
  const auto cases = crowds::allCases();
  while (run.disturbancesActive) {
    runtime::EventLoop::get().sleepFor(run.drawDuration(Duration(0), kMaxPause));
    std::vector<std::unique_ptr<crowds::Crowd>> present;
    for (auto [port, plan] : cases[run.draw(cases.size())].crowds) {
      plan.connections *= kLimitsFactor;
      present.push_back(std::make_unique<crowds::Crowd>(addressOf(run, port), plan));
    }
    runtime::EventLoop::get().sleepFor(run.drawDuration(kMinStay, kMaxStay));
    for (const auto& crowd : present)
      crowd->awaitSent();
  }
}
}  // namespace

void startCrowds(SoakRun& run) {
  if (run.plan.crowds)
    run.spawn([&run] { sendCrowds(run); });
}
}  // namespace zinccleat::soak
