#include "replicated_counters/increments.hpp"

namespace zinccleat::replicated_counters {
namespace {
bool isValidSequence(std::int64_t number) {
  return number >= 0 && number <= kMaxSequence;
}
bool isValidRange(const IncrementRange& range) {
  return range.firstSequence >= 1 && isValidSequence(range.firstSequence);
}
}  // namespace

bool isWellFormed(const IncrementBatch& batch) {
  const auto isFolded = [](const FoldedOrigin& folded) { return isValidSequence(folded.throughSequence); };
  return std::all_of(batch.folded.begin(), batch.folded.end(), isFolded) &&
         std::all_of(batch.ranges.begin(), batch.ranges.end(), isValidRange);
}
bool isWellFormed(const std::vector<OriginProgress>& progress) {
  return std::all_of(progress.begin(), progress.end(),
                     [](const OriginProgress& each) { return isValidSequence(each.sequence); });
}
}  // namespace zinccleat::replicated_counters
