// One core machine with its real links, on loopback: what one receiver that does not read may cost.
#include "core.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <filesystem>

#include "operations/observe.hpp"
#include "operations/runbook.hpp"
#include "simulation/plan.hpp"

using namespace zc;
namespace {
struct Alone {
  std::unique_ptr<Core> core;
  Settings s;
  explicit Alone(const std::string& ip) {
    std::string t = std::filesystem::temp_directory_path() / "zinccleat-core-XXXXXX";
    s.node = "core", s.ip = ip, s.zone = "z", s.dataDir = ::mkdtemp(t.data());
    s.portFirst = 7960, s.portLast = 7975;
    s.controlAddr = ip + ":8477";
    s.seeds = {s.controlAddr};
    s.initialAttach = true;
    core = std::make_unique<Core>(s);
  }
  bool until(Span within, const std::function<bool()>& f) {
    for (const auto end = Clock::now() + within; Clock::now() < end; EventLoop::get().pause(5ms))
      if (f())
        return true;
    return false;
  }
  std::int64_t status(const char* field) const {
    return std::atoll(fieldOf(core->statusJson(), field).value_or("-1").c_str());
  }
};
std::string body(int version) {
  ScaleRunPlan p;
  p.tenants = 1500;
  return planConfiguration(p, version, std::vector<int>(1500, version));
}
}  // namespace

// Found as a core machine over its memory: an answer to each refetch was added to what already waited.
TEST(Core, ATenderThatDoesNotReadCostsABoundedBacklog) {
  static std::vector<std::unique_ptr<Alone>> kept;  // its timers refer to it
  EventLoop::get().launch([] {
    kept.push_back(std::make_unique<Alone>("127.0.5.1"));
    auto& a = *kept.back();
    ASSERT_TRUE(a.core->start());
    ASSERT_TRUE(a.until(10s, [&] { return fieldOf(a.core->statusJson(), "leased").value_or("") == "true"; }));
    std::size_t size = 0;
    for (int v = 1; v <= 3; ++v) {
      const auto b = body(v);
      size = b.size();
      const auto r = a.core->write(configurationOp(v - 1, v, b, a.core->opId()), 5000ms);
      ASSERT_TRUE(r && *r == 200);
    }
    ASSERT_GT(size, 150'000u);
    Connection deaf;
    Ec ec;
    deaf.sock().open(tcp::v4(), ec);
    deaf.sock().set_option(asio::socket_base::receive_buffer_size(4096), ec);
    deaf.sock().connect(*parseEndpoint("127.0.5.1:7960"), ec);
    ASSERT_FALSE(ec);
    auto say = [&](Msg m) {
      m.from = "127.0.5.9#agent";
      const auto f = frameOf(m);
      deaf.write(asio::buffer(f), ec);
    };
    say(msgOf(Kind::state));
    std::int64_t most = 0;
    for (int i = 0; i < 120; ++i) {
      Msg m = msgOf(Kind::follow);
      m.num = 1;
      m.flag = true;
      say(m);
      EventLoop::get().pause(2ms);
      most = std::max(most, a.status("waitingBytes"));
    }
    EXPECT_EQ(a.status("agents"), 1);
    EXPECT_GT(most, 0) << "something must wait, or this shows nothing";
    EXPECT_LT(most, static_cast<std::int64_t>(4 * size)) << "once what it misses, not once a refetch";
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}
