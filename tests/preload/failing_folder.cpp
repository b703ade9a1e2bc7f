/// @file
/// Preloaded library that makes a disk fail at the start of a process. FAILING_FOLDER_CALLS is the number of times that
/// opening a folder fails with EIO; a negative number makes the first time never return.
#include <dirent.h>
#include <dlfcn.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdlib>

namespace {
constexpr unsigned kForeverS = 3600;

int callsToFail() {
  const char* calls = std::getenv("FAILING_FOLDER_CALLS");
  return calls ? std::atoi(calls) : 0;
}
}  // namespace

// The C library's header uses a reserved name for the parameter.
// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name)
extern "C" DIR* opendir(const char* path) {
  using OpenFolder = DIR* (*)(const char*);
  static const auto real = reinterpret_cast<OpenFolder>(::dlsym(RTLD_NEXT, "opendir"));
  static std::atomic<int> calls = 0;
  const int failing = callsToFail();
  if (failing < 0)
    ::sleep(kForeverS);
  if (calls++ >= failing)
    return real(path);
  errno = EIO;
  return nullptr;
}
