#include "replicated_counters/increments.hpp"

namespace zinccleat::replicated_counters {
namespace {
bool isSequence(std::int64_t number) {
  return number >= 0 && number <= kMaxSequence;
}
bool isRange(const IncrementRange& range) {
  return range.firstSequence >= 1 && isSequence(range.firstSequence);
}
}  // namespace

bool isWellFormed(const IncrementBatch& batch) {
  const auto isFolded = [](const FoldedOrigin& folded) { return isSequence(folded.throughSequence); };
  return std::all_of(batch.folded.begin(), batch.folded.end(), isFolded) &&
         std::all_of(batch.ranges.begin(), batch.ranges.end(), isRange);
}
bool isWellFormed(const std::vector<OriginProgress>& progress) {
  return std::all_of(progress.begin(), progress.end(),
                     [](const OriginProgress& each) { return isSequence(each.sequence); });
}
}  // namespace zinccleat::replicated_counters
