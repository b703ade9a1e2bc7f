#include "simulated_engine.hpp"

namespace zinccleat::simulated_engine {
bool Engine::submit(const Work& work) {
  if (waiting_.size() >= capacity_.queue)
    return false;
  waiting_.push_back(work);
  admit();
  return true;
}
void Engine::admit() {
  while (!waiting_.empty() && running_.size() < capacity_.slots) {
    const auto work = waiting_.front();
    waiting_.pop_front();
    const double shared = isCached(work.prefix) ? 0 : work.sharedTokens;
    running_.push_back({work, shared + work.ownTokens, 0});
  }
}
bool Engine::isCached(std::uint64_t prefix) {
  const auto found =
      std::find_if(prefixes_.begin(), prefixes_.end(), [&](const auto& each) { return each.first == prefix; });
  if (found == prefixes_.end())
    return false;
  prefixes_.splice(prefixes_.begin(), prefixes_, found);
  return true;
}
void Engine::cache(std::uint64_t prefix, double tokens) {
  if (prefix == 0 || isCached(prefix))
    return;
  prefixes_.emplace_front(prefix, tokens);
  cachedTokens_ += tokens;
  while (cachedTokens_ > capacity_.prefixMemory) {
    cachedTokens_ -= prefixes_.back().second;
    prefixes_.pop_back();
  }
}
// Processes prompts in order of admission and returns the time that was used.
double Engine::processPrompts(double ms) {
  double left = ms * capacity_.prefillTokensPerMs;
  for (auto& each : running_) {
    const double tokens = std::min(left, each.remainingPromptTokens);
    each.remainingPromptTokens -= tokens;
    left -= tokens;
    if (each.remainingPromptTokens <= 0 && tokens > 0)
      cache(each.work.prefix, each.work.sharedTokens);
  }
  return ms - left / capacity_.prefillTokensPerMs;
}
std::optional<double> Engine::generated(std::int64_t id) const {
  const auto found =
      std::find_if(running_.begin(), running_.end(), [id](const Running& each) { return each.work.id == id; });
  return found == running_.end() ? std::nullopt : std::optional(found->generated);
}
std::vector<Progress> Engine::advance(double ms) {
  const double budget = ms / capacity_.slowness;
  const auto isPrefilling = [](const Running& each) { return each.remainingPromptTokens > 0; };
  const auto prefilling = std::count_if(running_.begin(), running_.end(), isPrefilling);
  const bool generating = prefilling < static_cast<std::ptrdiff_t>(running_.size());
  const double used = prefilling > 0 ? processPrompts(generating ? budget * capacity_.prefillShare : budget) : 0;
  const double streams = static_cast<double>(running_.size()) - static_cast<double>(prefilling);
  const double tokens = (budget - used) / (capacity_.tokenMs + capacity_.tokenMsPerStream * std::max(0.0, streams - 1));
  std::vector<Progress> progress;
  for (auto& each : running_) {
    if (isPrefilling(each))
      continue;
    if (each.generated <= 0)
      progress.push_back({each.work.id, false});
    each.generated += std::max(tokens, 1e-6);
    if (each.generated >= each.work.outputTokens)
      progress.push_back({each.work.id, true});
  }
  std::erase_if(running_, [&](const Running& each) { return each.generated >= each.work.outputTokens; });
  admit();
  return progress;
}
}  // namespace zinccleat::simulated_engine
