#include "process_usage.hpp"

#include <filesystem>
#include <fstream>
#include <string>

namespace zinccleat::simulation {
namespace {
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kKibPerMib = 1024;

std::string procFolderOf(pid_t process) {
  return "/proc/" + std::to_string(process);
}
}  // namespace

double cpuSecondsOf(pid_t process) {
  double totalNs = 0;
  std::error_code ec;
  for (const auto& thread : std::filesystem::directory_iterator(procFolderOf(process) + "/task", ec)) {
    std::ifstream file(thread.path() / "schedstat");
    double runNs = 0;  // the first field of the file
    if (file >> runNs)
      totalNs += runNs;
  }
  return totalNs / kNanosecondsPerSecond;
}
double peakMemoryMbOf(pid_t process) {
  std::ifstream file(procFolderOf(process) + "/status");
  for (std::string field; file >> field;) {
    double peakKib = 0;
    if (field == "VmHWM:" && file >> peakKib)
      return peakKib / kKibPerMib;
  }
  return 0;
}
}  // namespace zinccleat::simulation
