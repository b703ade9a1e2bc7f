// One command for a newcomer: a small fleet on loopback that serves for some seconds while a leader and a runner are
// lost.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::simulation {
// Prints what clients saw and where to look further. 0: nothing lost, nothing doubled.
int trial(const std::string& binary, int seconds);
}  // namespace zinccleat::simulation
