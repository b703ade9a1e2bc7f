#include "body_cache.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::size_t kMaxBodies = 4;
}  // namespace

void BodyCache::add(EntryBody body) {
  const auto [entry, added] = bodies_.emplace(body.digest, std::move(body.body));
  if (!added)
    return;
  insertionOrder_.push_back(entry->first);
  if (insertionOrder_.size() <= kMaxBodies)
    return;
  bodies_.erase(insertionOrder_.front());
  insertionOrder_.pop_front();
}
bool BodyCache::restoreBody(transport::LogEntry& entry) const {
  if (!entry.omitted)
    return true;
  const auto body = bodies_.find(entry.digest);
  if (body == bodies_.end())
    return false;
  entry.body = body->second;
  entry.omitted = false;
  return true;
}
}  // namespace zinccleat::consensus
