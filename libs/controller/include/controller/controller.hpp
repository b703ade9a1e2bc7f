/// @file
/// Entry point of the controller process: a member of the replicated log that serves runners, operators and access
/// machines.
#pragma once
#include "config/settings.hpp"
namespace zinccleat::controller {
/// Runs a controller until the process receives a termination signal.
/// @return the exit status of the process: 0, or 1 if the controller could not start.
int runController(const config::Settings& settings);
}  // namespace zinccleat::controller
