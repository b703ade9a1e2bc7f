#include "crowd.hpp"

namespace zinccleat::crowds {
namespace {
constexpr auto kSendTime = 3s;  // longer than any of the process's own short waits for memory
constexpr auto kPollInterval = 20ms;
constexpr std::size_t kWriteBytes = std::size_t{64} * 1024;
}  // namespace

struct Crowd::State {
  tcp::endpoint endpoint;
  Transmission transmission;
  std::string block;  // the repeated part, often enough for one write
  std::vector<std::unique_ptr<runtime::Connection>> connections;
  int sending = 0;
  std::size_t mostSent = 0;

  void send(runtime::Connection& connection) {
    runtime::SocketError ec;
    connection.setDeadline(Clock::now() + kSendTime);
    connection.connect(endpoint, ec);
    std::size_t sent = 0;
    if (!ec)
      sent = connection.write(asio::buffer(transmission.prefix), ec);
    while (!ec && sent < transmission.bytes && !block.empty()) {
      const auto part = std::min(block.size(), transmission.bytes - sent);
      sent += connection.write(asio::buffer(block.data(), part), ec);
    }
    mostSent = std::max(mostSent, sent);
    connection.clearDeadline();
  }
};

Crowd::Crowd(const std::string& address, CrowdPlan plan) : state_(std::make_shared<State>()) {
  state_->endpoint = *runtime::parseEndpoint(address);
  state_->transmission = std::move(plan.transmission);
  const auto& repeated = state_->transmission.repeated;
  while (!repeated.empty() && state_->block.size() < kWriteBytes)
    state_->block += repeated;
  for (int i = 0; i < plan.connections; ++i)
    state_->connections.push_back(std::make_unique<runtime::Connection>());
  for (const auto& connection : state_->connections) {
    ++state_->sending;
    runtime::EventLoop::get().spawn([state = state_, &connection = *connection] {
      state->send(connection);
      --state->sending;
    });
  }
}
void Crowd::awaitSent() const {
  while (state_->sending > 0)
    runtime::EventLoop::get().sleepFor(kPollInterval);
}
std::size_t Crowd::mostSent() const {
  return state_->mostSent;
}
}  // namespace zinccleat::crowds
