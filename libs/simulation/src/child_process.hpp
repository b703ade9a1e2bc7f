/// Child processes that are killed when their parent ends. Linux only.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace zinccleat::simulation {
/// Starts a program. The kernel sends SIGKILL to the child when the calling thread ends for any reason
/// (PR_SET_PDEATHSIG). The child inherits only standard input and, as descriptor 3, a copy of `inherited`.
/// @param arguments the program's path and its arguments.
/// @param logPath file to which the child's standard output and error are appended; it is created if missing.
/// @param inherited open descriptor of the caller.
/// @return the child's process id, or -1 with `errno` if it cannot be started.
pid_t startChild(const std::vector<std::string>& arguments, const std::string& logPath, int inherited);
}  // namespace zinccleat::simulation
