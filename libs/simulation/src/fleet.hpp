// Real processes of the system on loopback addresses, with a folder of their own that goes when they do.
#pragma once
#include <sys/types.h>

#include "runtime/common.hpp"
namespace zc {
class LocalFleet {
 public:
  static constexpr unsigned short kPort = 7660, kControl = 8407, kAccess = 8405;
  struct Process {
    std::string name, role, settings;
    pid_t pid = 0;
  };
  LocalFleet(std::string binary, int core);
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  bool startCore();
  bool startPair();                // a agent and a proxy
  bool kill(std::size_t process);  // without a word
  bool startAgain(std::size_t process);
  std::string control(std::size_t i) const;
  static std::string access() { return "127.0.3.1:" + std::to_string(kAccess); }
  const std::vector<std::string>& core() const { return core_; }
  const std::vector<Process>& processes() const { return processes_; }
  const std::string& binary() const { return binary_; }
  const std::string& folder() const { return dir_; }

 private:
  void settings(const std::string& name, const std::string& ip, const std::string& role, const std::string& addresses,
                bool disk);
  bool spawn(Process& p);
  std::string binary_, dir_;
  std::vector<std::string> core_;
  std::vector<Process> processes_;
};
}  // namespace zc
