/// @file
/// Serves the control API over HTTP.
#pragma once
#include "controller_services.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::controller {
/// Listens and serves each connection on a fiber of its own.
/// @param address IP:PORT
/// @param services must outlive the event loop's run.
Result<void> startControlServer(const std::string& address, ControllerServices& services);
}  // namespace zinccleat::controller
