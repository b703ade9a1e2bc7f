// Child processes that end with the process that started them.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace zinccleat::simulation {
// Starts arguments[0] with the arguments. The child's standard output and error are appended to `logPath`; of the other
// descriptors it keeps standard input and, as descriptor 3, a copy of `inherited`. It gets SIGKILL as soon as the
// calling thread ends, however that ends (PR_SET_PDEATHSIG). Returns its process id, or -1 with errno when it cannot be
// started.
pid_t startChild(const std::vector<std::string>& arguments, const std::string& logPath, int inherited);
}  // namespace zinccleat::simulation
