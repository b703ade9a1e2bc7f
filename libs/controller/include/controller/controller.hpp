/// @file
/// Entry point of the controller process: a member of the replicated log that serves runners, operators and access
/// machines.
#pragma once
#include "config/settings.hpp"
#include "runtime/startup.hpp"
namespace zinccleat::controller {
/// Runs a controller until its graceful shutdown after SIGTERM is complete, and ends the process.
[[noreturn]] void runController(const config::Settings& settings, runtime::Startup& startup);
}  // namespace zinccleat::controller
