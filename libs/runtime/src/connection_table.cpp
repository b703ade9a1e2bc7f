#include "runtime/connection_table.hpp"

#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::runtime {
namespace {
constexpr auto kMemoryPollInterval = 20ms;
constexpr auto kSearchInterval = 20ms;  // between searches that find nothing
constexpr std::uint64_t kEvictionsPerLogLine = 100;
}  // namespace

ServedConnection::ServedConnection(ConnectionTable& table, MemoryBudget& budget, tcp::socket socket,
                                   SocketBufferBudget* buffers)
    : table_(table), connection_(std::move(socket)), memory_(budget), buffers_(buffers) {
  setConnectionOptions(connection_.socket());
  enter(ConnectionPhase::receiving);
  table_.connections_.push_back(*this);
}
void ServedConnection::enter(ConnectionPhase phase) {
  phase_ = phase;
  answered_ = answered_ || phase == ConnectionPhase::idle;
  connection_.progress().begin(Clock::now(), phase == ConnectionPhase::idle ? kMaxRest : TransferProgress::kMaxCredit);
}
bool ServedConnection::reserve(std::size_t bytes, Duration wait) {
  if (memory_.tryGrowTo(bytes))
    return true;
  const auto start = Clock::now();
  bool reserved = false;
  waitsForMemory_ = true;
  while (!reserved && connection_.isOpen() && Clock::now() < start + wait) {
    table_.evictForMemory();
    EventLoop::get().sleepFor(kMemoryPollInterval);
    reserved = memory_.tryGrowTo(bytes);
  }
  waitsForMemory_ = false;
  // The peer could not make progress while nothing was read.
  connection_.progress().extend(toDuration(Clock::now() - start));
  return reserved;
}
void ServedConnection::prepareToRead(std::size_t bytes) {
  if (buffers_)
    connection_.allowUnread(*buffers_, bytes);
}
void ServedConnection::prepareToWrite(std::size_t bytes) {
  if (buffers_)
    connection_.allowUnsent(*buffers_, bytes);
}
TimePoint ServedConnection::due(bool forPlace) const {
  const auto due = connection_.progress().due();
  if (forPlace && phase_ == ConnectionPhase::receiving)
    return due - (TransferProgress::kMaxCredit - kMaxHeaderPause);
  return due;
}
bool ServedConnection::awaitsPeer() const {
  return connection_.isOpen() && !waitsForMemory_ && (phase_ != ConnectionPhase::serving || connection_.isWriting());
}
bool ServedConnection::hasUnreadBytes() {
  SocketError ec;
  return phase_ != ConnectionPhase::serving && connection_.socket().available(ec) > 0;
}
void ServedConnection::evict() {
  connection_.close();
}

bool ConnectionTable::evictForPlace() {
  return evictLatest(false);
}
bool ConnectionTable::evictForMemory() {
  return evictLatest(true);
}
bool ConnectionTable::evictSlowest() {
  auto* chosen = findLatest(TimePoint::max(), false);
  if (chosen)
    evict(*chosen, "places");
  return chosen != nullptr;
}
bool ConnectionTable::evictLatest(bool holdsMemory) {
  const auto now = Clock::now();
  if (now < noneLateBefore_)
    return false;
  auto* chosen = findLatest(now, holdsMemory);
  if (!chosen) {
    noneLateBefore_ = now + kSearchInterval;
    return false;
  }
  evict(*chosen, holdsMemory ? "memory" : "places");
  return true;
}
ServedConnection* ConnectionTable::findLatest(TimePoint now, bool holdsMemory) {
  ServedConnection* latest = nullptr;
  std::pair<bool, TimePoint> earliest{true, now};  // whether the peer has had an answer, and when it was late
  for (auto& candidate : connections_) {
    const std::pair order{candidate.answered(), candidate.due(!holdsMemory)};
    const bool qualifies = candidate.awaitsPeer() && (!holdsMemory || candidate.memory().bytes() > 0);
    if (!qualifies || order.second >= now || order >= earliest)
      continue;
    if (candidate.hasUnreadBytes()) {
      // This process is late, not the peer: it stood still or was busy.
      candidate.connection().progress().begin(Clock::now());
      continue;
    }
    earliest = order;
    latest = &candidate;
  }
  return latest;
}
void ConnectionTable::evict(ServedConnection& connection, std::string_view reason) {
  if (evicted_++ % kEvictionsPerLogLine == 0)
    log::debug("connection_evicted",
               {{"reason", reason}, {"reserved_bytes", connection.memory().bytes()}, {"evicted", evicted_}});
  connection.evict();
}
}  // namespace zinccleat::runtime
