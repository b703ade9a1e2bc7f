#include "persistence.hpp"

namespace zc {
PersistTicket Persistence::add(DiskRecord record, std::int64_t lastNumber, std::int64_t lastTerm) {
  pending_.push_back({++lastTicket_, std::move(record), lastNumber, lastTerm, false, {}, Span(0)});
  return lastTicket_;
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
void Persistence::failed(PersistTicket ticket, Instant retryAt) {
  for (auto& pending : pending_) {
    if (pending.ticket != ticket)
      continue;
    pending.failed = true;
    pending.retryAt = retryAt;
  }
}
const Persistence::Pending* Persistence::dueRetry(Instant now, Instant next) {
  for (auto& pending : pending_) {
    if (!pending.failed || now < pending.retryAt)
      continue;
    pending.retryAt = next;
    return &pending;
  }
  return nullptr;
}
void Persistence::age(Span step) {
  for (auto& pending : pending_)
    pending.waited += step;
}
}  // namespace zc
