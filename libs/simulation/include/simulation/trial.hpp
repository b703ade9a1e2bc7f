/// One command for a newcomer: a small fleet on loopback that serves for some seconds while its leader and a runner are
/// killed and a bad revision is rolled out.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::simulation {
/// Runs the trial and prints what the clients and operators saw.
/// @param binary the program that is started as controller, agent and proxy.
/// @param seconds for which clients send requests.
/// @return the exit code: 0 if no request was lost, answered wrongly or run twice, the operators' calls are
///   linearizable and the bad revision was reverted; else 1.
int trial(const std::string& binary, int seconds);
}  // namespace zinccleat::simulation
