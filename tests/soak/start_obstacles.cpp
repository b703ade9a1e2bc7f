#include "start_obstacles.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>

#include "supervisor.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kMinObstacle{100};
constexpr Duration kDisturbanceInterval{100};
constexpr Duration kMaxSignalDelay{40};
constexpr int kMaxSignals = 4;

std::string readText(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}
}  // namespace

void StartObstacles::beforeStart(std::size_t process) {
  constexpr std::uint64_t kKinds = 6;
  switch (draw(kKinds)) {
    case 0:
    case 1:
      return holdAddress(process);
    case 2:
      return holdFolder(process);
    case 3:
      return truncateSettings(process);
    default:
      return;
  }
}
void StartObstacles::afterStart(std::size_t process) {
  if (draw(2) == 0)
    return;
  const auto signals = 1 + draw(kMaxSignals);
  run_.spawn([this, process, signals] {
    for (std::uint64_t i = 0; i < signals; ++i) {
      runtime::EventLoop::get().sleepFor(drawDuration(Duration(0), kMaxSignalDelay));
      constexpr std::uint64_t kTerminationOneIn = 6;
      if (draw(kTerminationOneIn) == 0)
        supervisor_.terminate(process);
      else
        supervisor_.signalEarly(process, draw(2) == 0 ? SIGHUP : SIGUSR1);
    }
  });
}
// Another program has the address. It does not listen, so that clients are refused as they are while the process is
// down.
void StartObstacles::holdAddress(std::size_t process) {
  const auto addresses = run_.fleet.listeningAddresses(process);
  const auto endpoint = runtime::parseEndpoint(addresses[draw(addresses.size())]);
  const auto holder = std::make_shared<tcp::acceptor>(runtime::EventLoop::get().io());
  runtime::SocketError ec;
  holder->open(tcp::v4(), ec);
  holder->set_option(tcp::acceptor::reuse_address(true), ec);  // connections of the last process may linger
  holder->bind(*endpoint, ec);
  if (ec)
    return;
  holder->set_option(tcp::acceptor::reuse_address(false), ec);  // nobody shares the address from now on
  removeLater(process, [holder] {
    runtime::SocketError ignored;
    holder->close(ignored);
  });
}
void StartObstacles::holdFolder(std::size_t process) {
  if (process >= run_.fleet.core().size())
    return;
  const auto path = run_.fleet.dataFolder(process) + "/lock";
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (file < 0)
    return;
  if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
    ::close(file);
    return;
  }
  removeLater(process, [file] { ::close(file); });
}
void StartObstacles::truncateSettings(std::size_t process) {
  const auto path = run_.fleet.settingsPath(process);
  const auto text = readText(path);
  // Both processes of an access machine have the same file, which may be truncated already.
  if (text.empty() || text.back() != '}')
    return;
  std::ofstream(path) << text.substr(0, draw(text.size()));
  removeLater(process, [path, text] {
    std::ofstream(path + ".new") << text;
    (void)std::rename((path + ".new").c_str(), path.c_str());
  });
}
void StartObstacles::removeLater(std::size_t process, const std::function<void()>& remove) {
  constexpr std::uint64_t kTerminationOneIn = 5;
  const auto end = Clock::now() + drawDuration(kMinObstacle, kMaxObstacle);
  const bool terminates = draw(kTerminationOneIn) == 0;
  supervisor_.setObstructed(process, true);
  run_.spawn([this, process, end, terminates, remove] {
    while (Clock::now() < end) {
      runtime::EventLoop::get().sleepFor(kDisturbanceInterval);
      supervisor_.recordDisturbance(process, true);
    }
    if (terminates)
      supervisor_.terminate(process);
    remove();
    supervisor_.setObstructed(process, false);
    supervisor_.recordDisturbance(process, true);
  });
}
}  // namespace zinccleat::soak
