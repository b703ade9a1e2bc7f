/// @file
/// The windows of usage: window k begins k times the window's length after the start of 1970, in true time.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::platform {
/// True time, in milliseconds since the start of 1970.
using FleetTime = std::chrono::sys_time<std::chrono::milliseconds>;
/// The window that a moment lies in.
/// @param length above 0.
inline std::int64_t windowOf(FleetTime time, Duration length) {
  return time.time_since_epoch() / length;
}
/// When a window ends and the next one begins.
inline FleetTime endOf(std::int64_t window, Duration length) {
  return FleetTime(length * (window + 1));
}
}  // namespace zinccleat::platform
