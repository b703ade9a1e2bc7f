/// Child processes that end with the process that started them. Linux only.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace zinccleat::simulation {
/// Starts a program. The child gets SIGKILL as soon as the calling thread ends, however that ends (PR_SET_PDEATHSIG).
/// Of the open descriptors it keeps standard input and, as descriptor 3, a copy of `inherited`.
/// @param arguments the program's path and its arguments.
/// @param logPath file to which the child's standard output and error are appended.
/// @return the child's process id, or -1 with `errno` if it cannot be started.
pid_t startChild(const std::vector<std::string>& arguments, const std::string& logPath, int inherited);
}  // namespace zinccleat::simulation
