/// @file
/// The controller's program: a member of the replicated log that serves runners, operators and access machines.
#pragma once
#include "config/settings.hpp"
namespace zinccleat::controller {
/// Runs a controller until the process is told to end.
/// @return the process's exit status: 0, or 1 if it could not start.
int runController(const config::Settings& settings);
}  // namespace zinccleat::controller
