#pragma once
namespace zinccleat::agent {
constexpr int kAgentPortOffset = 1;  // where the agent listens for its proxy: an offset into the internal ports
}
