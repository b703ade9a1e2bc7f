#include "persistence.hpp"

namespace zinccleat::consensus {
const Persistence::Pending& Persistence::add(DiskRecord record, std::int64_t lastLogIndex, std::int64_t lastLogTerm) {
  const bool waits = oldestFailed();
  Pending pending;
  pending.ticket = ++lastTicket_;
  pending.record = std::move(record);
  pending.lastLogIndex = lastLogIndex;
  pending.lastLogTerm = lastLogTerm;
  pending.inFlight = !waits;
  pending.failed = waits;
  pending_.push_back(std::move(pending));
  return pending_.back();
}
bool Persistence::hold(PersistTicket ticket, HeldMessage message) {
  if (ticket == 0 || pending_.empty() || pending_.front().ticket > ticket)
    return false;
  held_.emplace_back(ticket, std::move(message));
  return true;
}
std::optional<Persistence::Pending> Persistence::completed(PersistTicket ticket) {
  const auto found = std::find_if(pending_.begin(), pending_.end(), [&](auto& p) { return p.ticket == ticket; });
  if (found == pending_.end())
    return std::nullopt;
  auto done = std::move(*found);
  pending_.erase(found);
  return done;
}
std::vector<HeldMessage> Persistence::releasedMessages() {
  const auto oldest = pending_.empty() ? std::numeric_limits<PersistTicket>::max() : pending_.front().ticket;
  std::vector<HeldMessage> released;
  std::vector<std::pair<PersistTicket, HeldMessage>> still;
  for (auto& [ticket, message] : held_) {
    if (ticket < oldest)
      released.push_back(std::move(message));
    else
      still.emplace_back(ticket, std::move(message));
  }
  held_ = std::move(still);
  return released;
}
void Persistence::failed(PersistTicket ticket, TimePoint retryAt) {
  for (auto& pending : pending_) {
    if (pending.ticket != ticket)
      continue;
    pending.inFlight = false;
    pending.failed = true;
    pending.retryAt = retryAt;
  }
}
bool Persistence::retryDue(TimePoint now) const {
  if (!oldestFailed() || now < pending_.front().retryAt)
    return false;
  return std::none_of(pending_.begin(), pending_.end(), [](const Pending& pending) { return pending.inFlight; });
}
const Persistence::Pending& Persistence::retryOldest() {
  pending_.front().inFlight = true;
  return pending_.front();
}
const Persistence::Pending& Persistence::replaceAll(DiskRecord full, std::int64_t lastLogIndex,
                                                    std::int64_t lastLogTerm) {
  auto merged = pending_.front();
  merged.ticket = pending_.back().ticket;
  full.seq = merged.record.seq;
  lastSequence_ = full.seq;
  merged.record = std::move(full);
  merged.lastLogIndex = lastLogIndex;
  merged.lastLogTerm = lastLogTerm;
  merged.inFlight = true;
  pending_.clear();
  pending_.push_back(std::move(merged));
  return pending_.front();
}
void Persistence::age(Duration step) {
  for (auto& pending : pending_)
    pending.waited += step;
}
}  // namespace zinccleat::consensus
