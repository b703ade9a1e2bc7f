// A library that is preloaded into the programs of a soak run and injects the faults of `soak/fault_table.hpp`. The
// library replaces functions of the C library for sockets, files and the clock. If the file of the fault table is not
// set, the library changes nothing.
//
// Network faults: only the process that initiated a connection applies faults to it, for both directions, so that
// exactly one process is responsible for each connection. While packets are lost, calls that send or receive fail with
// EAGAIN, as on a network that transmits nothing, and a new connection hangs as if its SYN packet had no reply. When
// the fault ends, the delayed data is sent and received.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "soak/fault_table.hpp"

namespace {
using zinccleat::soak::FaultTable;
using zinccleat::soak::kFaultTableVariable;
using zinccleat::soak::kMaxFaultMachines;
using zinccleat::soak::MachineFaults;

constexpr int kMaxDescriptors = 65'536;
constexpr int kNoMachine = -1;
constexpr useconds_t kPollMicroseconds = 5'000;
constexpr useconds_t kMicrosecondsPerMillisecond = 1'000;

/// Returns the C library's function with this name, which the function of this library replaces.
template <class Function>
Function* realFunction(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

/// State of one file descriptor.
struct Descriptor {
  std::atomic<int> peer{kNoMachine};  // index of the remote machine, for a connection that this process initiated
  std::atomic<bool> isFile{false};    // a file created for writing, not for appending
  std::atomic<int> epoll{-1};         // epoll instance that monitors the descriptor; -1: none
  epoll_event event{};
  bool wasCut = false;
  int resets = 0;  // value of the table's reset counter for this link when it was last read
};

class FaultInjector {
 public:
  static FaultInjector& instance() {
    static auto* faults = new FaultInjector;  // never destroyed: other threads may still use it while the process ends
    return *faults;
  }
  bool active() const { return table_ != nullptr && self_ != kNoMachine; }
  MachineFaults& machine() { return table_->machines[static_cast<std::size_t>(self_)]; }
  Descriptor* descriptor(int number) {
    return active() && number >= 0 && number < kMaxDescriptors ? &descriptors_[static_cast<std::size_t>(number)]
                                                               : nullptr;
  }
  bool isCut(int from, int to) const {
    return table_->cut[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)].load() != 0;
  }
  bool sendIsCut(int number) {
    const auto* descriptorState = descriptor(number);
    const int peer = descriptorState ? descriptorState->peer.load() : kNoMachine;
    return peer != kNoMachine && isCut(self_, peer);
  }
  bool receiveIsCut(int number) {
    const auto* descriptorState = descriptor(number);
    const int peer = descriptorState ? descriptorState->peer.load() : kNoMachine;
    return peer != kNoMachine && isCut(peer, self_);
  }
  /// Returns the index of the machine with this address, or `kNoMachine` if the table has no such machine or the
  /// address is the own one.
  int machineAt(const sockaddr* address) const {
    if (address->sa_family != AF_INET)
      return kNoMachine;
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(address)->sin_addr, text, sizeof(text));
    for (std::size_t i = 0; i < kMaxFaultMachines; ++i)
      if (static_cast<int>(i) != self_ && std::strcmp(table_->machines[i].ip, text) == 0)
        return static_cast<int>(i);
    return kNoMachine;
  }
  void recordConnect(int number, int peer) {
    auto* descriptorState = descriptor(number);
    descriptorState->resets = table_->resets[static_cast<std::size_t>(self_)][static_cast<std::size_t>(peer)].load();
    descriptorState->wasCut = false;
    descriptorState->peer = peer;
  }
  void recordClose(int number) {
    if (auto* descriptorState = descriptor(number)) {
      const std::lock_guard lock(mutex_);
      descriptorState->peer = kNoMachine;
      descriptorState->isFile = false;
      descriptorState->epoll = -1;
    }
  }
  void recordEpollEvents(int epoll, int number, const epoll_event* event) {
    if (auto* descriptorState = descriptor(number); descriptorState && event) {
      const std::lock_guard lock(mutex_);
      descriptorState->epoll = epoll;
      descriptorState->event = *event;
    }
  }
  /// Returns an address at which a connection attempt is neither accepted nor refused, so that it hangs.
  sockaddr_in blackHole() const { return blackHole_; }

 private:
  FaultInjector() : descriptors_(new Descriptor[kMaxDescriptors]) {
    const char* path = std::getenv(kFaultTableVariable);
    if (!path)
      return;
    const int file = realFunction<int(const char*, int, ...)>("open")(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
      return;
    void* memory = ::mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (memory == MAP_FAILED)
      return;
    table_ = static_cast<FaultTable*>(memory);
    self_ = ownMachine();
    if (self_ == kNoMachine)
      return;
    openBlackHole();
    startPolling();
  }
  /// Finds the own machine in the table by the name of the settings file on the command line.
  int ownMachine() const {
    std::string line(4096, '\0');
    std::FILE* file = std::fopen("/proc/self/cmdline", "r");
    if (!file)
      return kNoMachine;
    line.resize(std::fread(line.data(), 1, line.size(), file));
    std::fclose(file);
    for (std::size_t i = 0; i < kMaxFaultMachines; ++i) {
      const std::string name = table_->machines[i].name;
      if (!name.empty() && line.find("/" + name + ".json") != std::string::npos)
        return static_cast<int>(i);
    }
    return kNoMachine;
  }
  // Opens a listening socket and fills its queue of pending connections; the kernel then drops further SYN packets.
  void openBlackHole() {
    const auto realConnect = realFunction<int(int, const sockaddr*, socklen_t)>("connect");
    blackHole_.sin_family = AF_INET;
    blackHole_.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto* address = reinterpret_cast<sockaddr*>(&blackHole_);
    socklen_t size = sizeof(blackHole_);
    if (::bind(listener, address, size) != 0 || ::getsockname(listener, address, &size) != 0 ||
        ::listen(listener, 0) != 0)
      std::abort();
    for (int i = 0; i < 3; ++i)
      (void)realConnect(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), address, size);
  }
  // Starts the thread that polls the fault table. The thread blocks all signals, so that the kernel delivers them to
  // the threads of the program.
  void startPolling() {
    sigset_t all;
    sigset_t before;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &before);
    std::thread([this] {
      for (;; ::usleep(kPollMicroseconds))
        applyTableChanges();
    }).detach();
    ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
  // Checks every open connection for changes in the fault table. When packets are no longer lost, EPOLL_CTL_MOD
  // makes epoll report the descriptor's state again: the event loop uses edge-triggered events and would otherwise miss
  // data that arrived during the fault. When the reset counter has changed, the connection is shut down.
  void applyTableChanges() {
    static const auto realControl = realFunction<int(int, int, int, epoll_event*)>("epoll_ctl");
    const std::lock_guard lock(mutex_);
    for (int number = 0; number < kMaxDescriptors; ++number) {
      auto& descriptorState = descriptors_[static_cast<std::size_t>(number)];
      const int peer = descriptorState.peer.load();
      if (peer == kNoMachine)
        continue;
      const bool cut = isCut(self_, peer) || isCut(peer, self_);
      if (std::exchange(descriptorState.wasCut, cut) && !cut && descriptorState.epoll >= 0)
        realControl(descriptorState.epoll, EPOLL_CTL_MOD, number, &descriptorState.event);
      const int resets = table_->resets[static_cast<std::size_t>(self_)][static_cast<std::size_t>(peer)].load();
      if (std::exchange(descriptorState.resets, resets) != resets)
        ::shutdown(number, SHUT_RDWR);
    }
  }

  FaultTable* table_ = nullptr;
  int self_ = kNoMachine;
  Descriptor* descriptors_;
  std::mutex mutex_;
  sockaddr_in blackHole_{};
};

/// Consumes one of the remaining faults of a counter. Returns false if none remains.
bool consumeFault(std::atomic<std::int32_t>& left) {
  if (left.load() <= 0)
    return false;
  return left.fetch_sub(1) > 0;
}
int fail(int error) {
  errno = error;
  return -1;
}
}  // namespace

// The C library declares the parameters with names that start with two underscores; such names are reserved.
// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name)
extern "C" {
__attribute__((constructor)) void zinccleatSoakFaultsBegin() {
  (void)FaultInjector::instance();
}

// --- sockets ---

int connect(int number, const sockaddr* address, socklen_t size) {
  static const auto real = realFunction<int(int, const sockaddr*, socklen_t)>("connect");
  auto& faults = FaultInjector::instance();
  const int peer = faults.active() ? faults.machineAt(address) : kNoMachine;
  if (peer == kNoMachine || !faults.descriptor(number))
    return real(number, address, size);
  faults.recordConnect(number, peer);
  if (!faults.sendIsCut(number) && !faults.receiveIsCut(number))
    return real(number, address, size);
  const auto nowhere = faults.blackHole();
  return real(number, reinterpret_cast<const sockaddr*>(&nowhere), sizeof(nowhere));
}
int close(int number) {
  static const auto real = realFunction<int(int)>("close");
  FaultInjector::instance().recordClose(number);
  return real(number);
}
int epoll_ctl(int epoll, int operation, int number, epoll_event* event) {
  static const auto real = realFunction<int(int, int, int, epoll_event*)>("epoll_ctl");
  FaultInjector::instance().recordEpollEvents(epoll, number, event);
  return real(epoll, operation, number, event);
}
ssize_t send(int number, const void* bytes, size_t size, int flags) {
  static const auto real = realFunction<ssize_t(int, const void*, size_t, int)>("send");
  return FaultInjector::instance().sendIsCut(number) ? fail(EAGAIN) : real(number, bytes, size, flags);
}
ssize_t sendmsg(int number, const msghdr* message, int flags) {
  static const auto real = realFunction<ssize_t(int, const msghdr*, int)>("sendmsg");
  return FaultInjector::instance().sendIsCut(number) ? fail(EAGAIN) : real(number, message, flags);
}
ssize_t recv(int number, void* bytes, size_t size, int flags) {
  static const auto real = realFunction<ssize_t(int, void*, size_t, int)>("recv");
  return FaultInjector::instance().receiveIsCut(number) ? fail(EAGAIN) : real(number, bytes, size, flags);
}
ssize_t recvmsg(int number, msghdr* message, int flags) {
  static const auto real = realFunction<ssize_t(int, msghdr*, int)>("recvmsg");
  return FaultInjector::instance().receiveIsCut(number) ? fail(EAGAIN) : real(number, message, flags);
}

// --- files ---

int open(const char* path, int flags, ...) {
  static const auto real = realFunction<int(const char*, int, ...)>("open");
  mode_t mode = 0;
  if ((flags & O_CREAT) != 0) {
    va_list arguments;
    va_start(arguments, flags);
    mode = va_arg(arguments, mode_t);
    va_end(arguments);
  }
  const int number = real(path, flags, mode);
  if (auto* descriptorState = FaultInjector::instance().descriptor(number))
    descriptorState->isFile = (flags & O_CREAT) != 0 && (flags & O_ACCMODE) == O_WRONLY && (flags & O_APPEND) == 0;
  return number;
}
ssize_t write(int number, const void* bytes, size_t size) {
  static const auto real = realFunction<ssize_t(int, const void*, size_t)>("write");
  auto& faults = FaultInjector::instance();
  const auto* descriptorState = faults.descriptor(number);
  if (descriptorState && descriptorState->isFile) {
    if (faults.machine().full.load() != 0)
      return fail(ENOSPC);
    if (consumeFault(faults.machine().refusedWrites))
      return fail(EIO);
  }
  return real(number, bytes, size);
}
int fsync(int number) {
  static const auto real = realFunction<int(int)>("fsync");
  auto& faults = FaultInjector::instance();
  if (faults.active()) {
    auto& machine = faults.machine();
    ::usleep(static_cast<useconds_t>(machine.syncMs.load()) * kMicrosecondsPerMillisecond);
    while (machine.stalled.load() != 0)
      ::usleep(kPollMicroseconds);
    if (consumeFault(machine.refusedSyncs))
      return fail(EIO);
  }
  return real(number);
}

// --- clock ---

// While the clock is slowed down, it advances by the real elapsed time divided by `clockDivisor`. The clock never goes
// backwards, and it does not catch up when the slowdown ends.
int clock_gettime(clockid_t clock, timespec* time) {
  static const auto real = realFunction<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  auto& faults = FaultInjector::instance();
  if (result != 0 || clock != CLOCK_MONOTONIC || !faults.active())
    return result;
  constexpr std::int64_t kNanoseconds = 1'000'000'000;
  static std::mutex mutex;
  static std::int64_t slowSince = 0;
  static std::int64_t lost = 0;
  static std::int64_t lastDivisor = 1;
  const std::lock_guard lock(mutex);
  const std::int64_t now = time->tv_sec * kNanoseconds + time->tv_nsec;
  const auto divisor = std::max<std::int64_t>(1, faults.machine().clockDivisor.load());
  std::int64_t lostNow = lost;
  if (divisor > 1) {
    if (slowSince == 0)
      slowSince = now;
    lastDivisor = divisor;
    lostNow += (now - slowSince) - (now - slowSince) / divisor;
  } else if (slowSince != 0) {
    lost += (now - slowSince) - (now - slowSince) / lastDivisor;
    slowSince = 0;
    lostNow = lost;
  }
  time->tv_sec = (now - lostNow) / kNanoseconds;
  time->tv_nsec = (now - lostNow) % kNanoseconds;
  return 0;
}
}
// NOLINTEND(readability-inconsistent-declaration-parameter-name)
