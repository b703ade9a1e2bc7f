#include "balancing/runner_observer.hpp"

#include <bit>
#include <cmath>

namespace zinccleat::balancing {
namespace {
constexpr int kFew = 6;           // answers before anything is called usual
constexpr double kFarSlower = 3;  // times the usual, and
constexpr double kSpreads = 5;  // so many times beyond what it usually differs by: short prompts queue behind long ones
constexpr double kGrain = 40;   // ms below which nothing counts as slow
constexpr double kWeight = 0.06;  // of a new answer in the usual
}  // namespace
int RunnerObserver::bucketOf(std::int64_t tokens) {
  return std::min(23, static_cast<int>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(0, tokens)))));
}
Duration RunnerObserver::patience(const std::string& service, std::int64_t tokens) const {
  const auto it = usual_.find(service);
  const int b = bucketOf(tokens);
  if (it == usual_.end() || it->second.count[b] < kFew)
    return Duration::max();
  const auto& u = it->second;
  return Duration(static_cast<std::int64_t>(std::max(u.ms[b] * kFarSlower + kGrain, u.ms[b] + kSpreads * u.spread[b])));
}
bool RunnerObserver::began(const std::string& runner, const std::string& service, std::int64_t tokens, Duration took,
                           bool blamed) {
  const bool slow = took > patience(service, tokens);
  auto& u = usual_[service];
  const int b = bucketOf(tokens);
  const auto ms = static_cast<double>(took.count());
  // Why bounded: one runner that hangs must not make hanging usual.
  if (u.count[b]++ == 0) {
    u.ms[b] = ms;
  } else {
    const double off = std::min(ms, u.ms[b] * kFarSlower + kGrain) - u.ms[b];
    const double w = u.count[b] < kFew ? 0.3 : kWeight;
    u.ms[b] += off * w;
    u.spread[b] += (std::abs(off) - u.spread[b]) * w;
  }
  if (blamed)
    return !slow;
  auto& s = seen_[runner];
  if (slow)
    s.bad += slowWeight;
  else
    s.good += 1;
  return !slow;
}
std::vector<transport::RunnerAttempts> RunnerObserver::report(std::size_t most) {
  std::vector<transport::RunnerAttempts> out;
  for (auto& [id, s] : seen_)
    out.push_back({id, s.good, s.bad});
  seen_.clear();
  std::sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.failed > b.failed; });
  if (out.size() > most)
    out.resize(most);
  return out;
}
}  // namespace zinccleat::balancing
