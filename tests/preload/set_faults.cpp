// zinccleat_faults FOLDER cut|join NAME=IP...
//
// Controls the network faults of processes that preload `fault_library.cpp`, for tests that are scripts. `cut` loses
// all packets between the first machine and the others, both ways; `join` ends that. FOLDER holds the fault table; NAME
// is the name of a machine's settings file without `.json`. Each call names the same machines in the same order, and
// the first one is made before their processes start.
#include <cstdio>
#include <numeric>
#include <string>

#include "soak/faults.hpp"

int main(int argc, char** argv) {
  using zinccleat::soak::FaultControl;
  const std::string command = argc > 3 ? argv[2] : "";
  if (command != "cut" && command != "join") {
    std::fprintf(stderr, "usage: zinccleat_faults FOLDER cut|join NAME=IP...\n");
    return 2;
  }
  FaultControl faults("", argv[1]);
  std::vector<std::size_t> machines;
  for (int i = 3; i < argc; ++i) {
    const std::string machine = argv[i];
    const auto separator = machine.find('=');
    machines.push_back(faults.addMachine(machine.substr(0, separator), machine.substr(separator + 1)));
  }
  const std::vector<std::size_t> first{machines.front()};
  const std::vector<std::size_t> others(machines.begin() + 1, machines.end());
  faults.cut(first, others, command == "cut");
  faults.cut(others, first, command == "cut");
  return 0;
}
