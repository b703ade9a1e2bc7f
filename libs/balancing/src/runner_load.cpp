#include "balancing/runner_load.hpp"

#include <array>
#include <charconv>

namespace zinccleat::balancing {
namespace {
constexpr auto kLoadReportLifetime = 1500ms;

struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};
// Parses three numbers. Each may have leading spaces and a trailing comma.
std::optional<LoadReport> parseLoadReport(std::string_view text) {
  std::array<int, 3> numbers{};
  for (int& number : numbers) {
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{})
      return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (text.starts_with(','))
      text.remove_prefix(1);
  }
  return LoadReport{numbers[0], numbers[1], numbers[2]};
}
}  // namespace

void updateLoad(RunnerEndpoint& endpoint, std::string_view report, TimePoint now) {
  const auto reported = parseLoadReport(report);
  if (!reported)
    return;
  endpoint.reportedRunning = reported->running;
  endpoint.reportedWaiting = reported->waiting;
  endpoint.reportedSlots = reported->slots;
  endpoint.inFlightAtReport = endpoint.inFlight;
  endpoint.prefillingAtReport = endpoint.prefilling;
  endpoint.reportedAt = now;
}

bool hasFreshLoadReport(const RunnerEndpoint& endpoint, TimePoint now) {
  return now - endpoint.reportedAt < kLoadReportLifetime;
}

double loadOf(const RunnerEndpoint& endpoint, TimePoint now) {
  const double slots = std::max(1, endpoint.reportedSlots > 0 ? endpoint.reportedSlots : endpoint.capacity);
  if (!hasFreshLoadReport(endpoint, now))
    return endpoint.inFlight / slots;
  const int startedSinceReport = endpoint.inFlight - endpoint.inFlightAtReport;
  const int estimated = endpoint.reportedRunning + endpoint.reportedWaiting + startedSinceReport;
  return std::max(endpoint.inFlight, estimated) / slots;
}
}  // namespace zinccleat::balancing
