#include "transport/accepted_links.hpp"

#include "runtime/connection_table.hpp"

namespace zinccleat::transport {
namespace {
constexpr std::size_t kBytesPerMb = std::size_t{1} << 20;
constexpr std::size_t kMemoryDivisorForFrames = 4;
constexpr std::size_t kMemoryDivisorForLinks = 8;
constexpr int kDescriptorDivisorForLinks = 4;
constexpr std::size_t kBytesPerLink = std::size_t{64} * 1024;  // stack, buffers, and what the kernel holds unread
constexpr int kMinLinks = 32;
}  // namespace

struct AcceptedLinks::State {
  explicit State(AcceptedLinkLimits linkLimits) : limits(linkLimits), frameMemory(linkLimits.frameBytes) {}
  AcceptedLinkLimits limits;
  runtime::MemoryBudget frameMemory;
  runtime::ConnectionTable connections;
  int open = 0;
};

AcceptedLinkLimits AcceptedLinkLimits::of(int memoryMb, int fdLimit) {
  AcceptedLinkLimits limits;
  if (fdLimit > 0)
    limits.links = std::min(limits.links, fdLimit / kDescriptorDivisorForLinks);
  if (memoryMb > 0) {
    const auto memory = static_cast<std::size_t>(memoryMb) * kBytesPerMb;
    limits.links = std::min(limits.links, static_cast<int>(memory / kMemoryDivisorForLinks / kBytesPerLink));
    limits.frameBytes = memory / kMemoryDivisorForFrames;
  }
  limits.links = std::max(limits.links, kMinLinks);
  return limits;
}

AcceptedLinks::AcceptedLinks(AcceptedLinkLimits limits) : state_(std::make_shared<State>(limits)) {}
int AcceptedLinks::size() const {
  return state_->open;
}
std::size_t AcceptedLinks::reservedBytes() const {
  return state_->frameMemory.used();
}
void AcceptedLinks::accept(tcp::socket socket, PeerLink::OnMessage onMessage) {
  if (state_->open >= state_->limits.links && !state_->connections.evictForPlace())
    return;
  ++state_->open;
  // Owns the state, because the link may outlive the process's `AcceptedLinks`.
  const auto state = state_;
  std::shared_ptr<runtime::ServedConnection> served(
      new runtime::ServedConnection(state->connections, state->frameMemory, std::move(socket)),
      [state](runtime::ServedConnection* connection) { delete connection; });
  auto link = std::make_shared<PeerLink>(std::move(served), std::move(onMessage),
                                         [state](const PeerLinkPtr&) { --state->open; });
  link->start();
}
}  // namespace zinccleat::transport
