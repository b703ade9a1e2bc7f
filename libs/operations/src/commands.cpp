#include <cstdio>

#include "config/settings.hpp"
#include "operations/runbook.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::operations {
namespace {
constexpr auto kCallWait = 3000ms;
void line(const std::string& s) {
  std::printf("%s\n", s.c_str());
  std::fflush(stdout);
}
}  // namespace

int runbookCommand(const std::string& file, const std::vector<std::string>& sets, bool dry) {
  auto text = config::readFile(file);
  if (!text) {
    std::fprintf(stderr, "zinccleat runbook: %s\n", text.error().message.c_str());
    return 2;
  }
  std::map<std::string, std::string> given;
  for (auto& s : sets) {
    const auto eq = s.find('=');
    if (eq == std::string::npos || eq == 0) {
      std::fprintf(stderr, "zinccleat runbook: '%s' is no name=value\n", s.c_str());
      return 2;
    }
    given[s.substr(0, eq)] = s.substr(eq + 1);
  }
  auto b = parseRunbook(*text, given);
  if (!b) {
    std::fprintf(stderr, "zinccleat runbook: %s: %s\n", file.c_str(), b.error().message.c_str());
    return 2;
  }
  const auto core = splitList(given["core"]);
  if (core.empty() && !dry) {
    std::fprintf(stderr, "zinccleat runbook: say --set core=ADDRESS:PORT,... (the nodes that serve control)\n");
    return 2;
  }
  return runOnEventLoop([&] {
    RunbookPorts io;
    io.any = [&](const Call& c) { return callAny(core, c, kCallWait); };
    io.all = [&](const Call& c) {
      std::vector<Result<Called>> out;
      out.reserve(core.size());
      for (auto& a : core)
        out.push_back(callOne(a, c, kCallWait));
      return out;
    };
    io.sleepFor = [](Duration d) { runtime::EventLoop::get().sleepFor(d); };
    io.print = line;
    io.now = [] { return Clock::now(); };
    return runRunbook(*b, io, dry);
  });
}

int statusCommand(const std::vector<std::string>& addresses, bool json) {
  if (addresses.empty()) {
    std::fprintf(stderr, "zinccleat status: say which nodes: ADDRESS:PORT...\n");
    return 2;
  }
  return runOnEventLoop([&] {
    int silent = 0;
    std::string all = "[";
    if (!json)
      std::printf("%-22s %-10s %5s %8s %8s %7s %-7s %7s  %s\n", "node", "role", "term", "released", "applied", "leased",
                  "disk", "runners", "members");
    for (auto& a : addresses) {
      auto r = callOne(a, Call{"GET", "/v1/Status", "", {}}, kCallWait);
      if (!r || r->status != 200) {
        ++silent;
        const auto why = r ? "status " + std::to_string(r->status) : r.error().message;
        if (json)
          all += (all.size() > 1 ? "," : "") + ("{\"node\":\"" + a + "\",\"error\":\"" + why + "\"}");
        else
          std::printf("%-22s %s\n", a.c_str(), why.c_str());
        continue;
      }
      if (json) {
        all += (all.size() > 1 ? "," : "") + r->body;
        continue;
      }
      auto f = [&](const char* n) { return fieldOf(r->body, n).value_or("?"); };
      std::printf("%-22s %-10s %5s %8s %8s %7s %-7s %7s  %s\n", f("node").c_str(), f("role").c_str(), f("term").c_str(),
                  f("released").c_str(), f("applied").c_str(), f("leased").c_str(),
                  f("diskSick") == "true" ? "sick" : "fine", f("runners#").c_str(), f("members").c_str());
    }
    if (json)
      std::printf("%s]\n", all.c_str());
    return silent == static_cast<int>(addresses.size()) ? 1 : 0;
  });
}
}  // namespace zinccleat::operations
