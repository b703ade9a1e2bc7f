#pragma once
namespace zc {
constexpr int kTenderPort = 1;  // where the agent listens for its proxy: an offset into the internal ports
}
