/// Runs fiber-blocking functions from a thread that has no event loop.
#pragma once
#include <functional>

#include "runtime/common.hpp"
namespace zinccleat::operations {
/// Time limit of an operator's command for one node's response.
constexpr Duration kCallTimeout{3000};
/// Creates an event loop, runs the function on one of its fibers, and stops the loop when the function returns.
/// @return the function's result
int runOnEventLoop(const std::function<int()>& function);
}  // namespace zinccleat::operations
