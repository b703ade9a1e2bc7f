/// Running a function that blocks a fiber from a plain thread.
#pragma once
#include <functional>

#include "runtime/common.hpp"
namespace zinccleat::operations {
/// How long an operator's command waits for one node's answer.
constexpr Duration kCallTimeout{3000};
/// Runs a function on a fiber of an event loop of its own until it returns.
/// @return what the function returned
int runOnEventLoop(const std::function<int()>& function);
}  // namespace zinccleat::operations
