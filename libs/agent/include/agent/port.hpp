/// Where an agent listens for its proxy.
#pragma once
namespace zinccleat::agent {
/// The agent's port, counted from the first of the machine's internal ports. It is bound on 127.0.0.1 only.
constexpr int kAgentPortOffset = 1;
}  // namespace zinccleat::agent
