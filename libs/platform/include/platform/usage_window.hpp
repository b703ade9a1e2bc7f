/// @file
/// Usage windows: window k begins k window lengths after the start of 1970, in true time.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::platform {
/// True time, in milliseconds since the start of 1970.
using FleetTime = std::chrono::sys_time<std::chrono::milliseconds>;
/// The window that contains a point in time.
/// @param length must be positive.
inline std::int64_t windowOf(FleetTime time, Duration length) {
  return time.time_since_epoch() / length;
}
/// The end of a window, which is also the start of the next one.
inline FleetTime endOf(std::int64_t window, Duration length) {
  return FleetTime(length * (window + 1));
}
}  // namespace zinccleat::platform
