/// Demonstration run: a small fleet on loopback addresses serves simulated clients for some seconds while its leader
/// and a runner are killed and a faulty revision is rolled out.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::simulation {
/// Runs the trial and prints the results of the clients, the operators and the rollout.
/// @param binary path of the program that is started as controller, agent and proxy.
/// @param seconds how long clients send requests.
/// @return the exit code: 0 if no request was lost, answered with a wrong body or executed twice, at least one push and
///   one stream were served, the operators' calls are linearizable and the faulty revision was reverted; otherwise 1.
int trial(const std::string& binary, int seconds);
}  // namespace zinccleat::simulation
