// One binary, its programs by subcommand.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <unistd.h>

#include <cstdio>

#include "agent/agent.hpp"
#include "config/configuration.hpp"
#include "config/settings.hpp"
#include "controller/controller.hpp"
#include "operations/runbook.hpp"
#include "proxy_daemon/proxy_daemon.hpp"
#include "runtime/log_ring.hpp"
#include "simulation/plan.hpp"
#include "simulation/trial.hpp"

ABSL_FLAG(std::string, settings, "", "path of the settings file; default: $ZINCCLEAT_CONFIG");
ABSL_FLAG(std::vector<std::string>, set, {}, "runbook, scale-run: name=value,...; a list value is split by +");
ABSL_FLAG(bool, dry, false, "runbook: show the steps, call nothing");
ABSL_FLAG(bool, json, false, "status: as JSON");
ABSL_FLAG(int, seconds, 9, "trial: how long it serves");
ABSL_FLAG(bool, verbose, false, "write log notes at once, not only when something goes wrong");

namespace {
constexpr const char* kVersion = "0.3 (frames 2)";
constexpr const char* kUsage =
    "zinccleat SUBCOMMAND [--settings FILE] [--verbose]\n"
    "  proxy          the proxy on access machines\n"
    "  agent          the agent beside each proxy\n"
    "  controller     control, on core machines\n"
    "  check KIND FILE  checks a file; KIND is settings, configuration or runbook\n"
    "  status ADDRESS:PORT... [--json]  what the core's nodes know\n"
    "  runbook FILE --set name=value,... [--dry]  runs a runbook; lists of addresses are joined by +\n"
    "  scale-run [FILE] [--set name=value,...] [--json]  a scale run on loopback: real controllers, hollow nodes\n"
    "  trial [--seconds N]  a small fleet on loopback that serves while a leader and a runner are lost\n"
    "  --help, --version\n"
    "exit status: 0 as asked, 1 it went otherwise, 2 the command line or a file is wrong";

// Which subcommands know a flag: one given to another is a mistake worth a word.
struct Known {
  std::string_view flag, by;
};
constexpr Known kKnown[] = {{"settings", "proxy agent controller"}, {"verbose", "proxy agent controller"},
                            {"set", "runbook scale-run"},           {"dry", "runbook"},
                            {"json", "status scale-run"},           {"seconds", "trial"}};
// The first complaint about the flags given; empty: none.
std::string wrongFlag(int argc, char** argv) {
  std::string sub;
  for (int i = 1; i < argc && sub.empty(); ++i)
    if (argv[i][0] != '-')
      sub = argv[i];
  for (int i = 1; i < argc; ++i) {
    std::string_view a = argv[i];
    if (a.substr(0, 2) != "--" || a.size() == 2)
      continue;
    const auto name = a.substr(2, a.find('=') == a.npos ? a.npos : a.find('=') - 2);
    const auto* k = std::find_if(std::begin(kKnown), std::end(kKnown), [&](auto& x) {
      return x.flag == name || (name.substr(0, 2) == "no" && x.flag == name.substr(2));
    });
    if (k == std::end(kKnown))
      return "no subcommand knows the flag '--" + std::string(name) + "'";
    if ((" " + std::string(k->by) + " ").find(" " + sub + " ") == std::string::npos)
      return "the flag '--" + std::string(name) + "' is for: " + std::string(k->by);
  }
  return {};
}
// Why not return: the fiber library would wait for fibers that are parked on connections nobody serves any more.
[[noreturn]] void quit(int rc) {
  std::fflush(nullptr);
  ::_exit(rc);
}

int check(const std::vector<char*>& args) {
  if (args.size() != 4) {
    std::fprintf(stderr, "zinccleat check: wants KIND FILE\n");
    return 2;
  }
  const std::string kind = args[2];
  auto text = zinccleat::config::readFile(args[3]);
  std::string wrong;
  if (!text)
    wrong = text.error().message;
  else if (kind == "settings") {
    if (auto s = zinccleat::config::parseSettings(*text); !s)
      wrong = s.error().message;
  } else if (kind == "configuration") {
    if (auto c = zinccleat::config::parseConfiguration(*text); !c)
      wrong = c.error().message;
  } else if (kind == "runbook") {
    if (auto b = zinccleat::operations::parseRunbook(*text, zinccleat::operations::sampleValues(*text)); !b)
      wrong = b.error().message;
  } else {
    std::fprintf(stderr, "zinccleat check: unknown kind '%s'\n", kind.c_str());
    return 2;
  }
  if (!wrong.empty()) {
    std::fprintf(stderr, "zinccleat check: %s: %s\n", args[3], wrong.c_str());
    return 1;
  }
  std::printf("%s: fine\n", args[3]);
  return 0;
}
}  // namespace

int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const std::string_view a = argv[i];
    if (a == "--help" || a == "-h") {
      std::printf("%s\n", kUsage);
      return 0;
    }
    if (a == "--version") {
      std::printf("zinccleat %s\n", kVersion);
      return 0;
    }
  }
  if (const auto wrong = wrongFlag(argc, argv); !wrong.empty()) {
    std::fprintf(stderr, "zinccleat: %s\n", wrong.c_str());
    return 2;
  }
  absl::SetProgramUsageMessage(kUsage);
  const auto args = absl::ParseCommandLine(argc, argv);
  const std::string sub = args.size() > 1 ? args[1] : "";
  if (sub == "check")
    return check(args);
  const std::vector<std::string> rest(
      args.begin() + std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(args.size())), args.end());
  if (sub == "status")
    quit(zinccleat::operations::statusCommand(rest, absl::GetFlag(FLAGS_json)));
  if (sub == "runbook") {
    if (rest.size() != 1) {
      std::fprintf(stderr, "zinccleat runbook: wants one FILE\n");
      return 2;
    }
    auto sets = absl::GetFlag(FLAGS_set);
    for (auto& s : sets)
      std::replace(s.begin(), s.end(), '+', ',');
    // A bare name means one of those that come with the program.
    const auto file = rest[0].find_first_of("./") == std::string::npos ? "runbooks/" + rest[0] + ".run" : rest[0];
    quit(zinccleat::operations::runbookCommand(file, sets, absl::GetFlag(FLAGS_dry)));
  }
  if (sub == "trial") {
    const int seconds = absl::GetFlag(FLAGS_seconds);
    if (seconds < 3 || seconds > 600) {
      std::fprintf(stderr, "zinccleat trial: --seconds is 3 to 600\n");
      return 2;
    }
    quit(zinccleat::simulation::trial("/proc/self/exe", seconds));
  }
  if (sub == "scale-run") {
    auto text = rest.empty() ? zinccleat::Result<std::string>("{}") : zinccleat::config::readFile(rest[0]);
    auto plan = text ? zinccleat::simulation::parsePlan(*text, absl::GetFlag(FLAGS_set))
                     : zinccleat::Result<zinccleat::simulation::ScaleRunPlan>(tl::unexpected(text.error()));
    if (!plan) {
      std::fprintf(stderr, "zinccleat scale-run: %s\n", plan.error().message.c_str());
      return 2;
    }
    quit(zinccleat::simulation::runAtScale(*plan, "/proc/self/exe", absl::GetFlag(FLAGS_json)));
  }
  if (sub != "proxy" && sub != "agent" && sub != "controller") {
    std::fprintf(stderr, "zinccleat: unknown subcommand '%s'\n%s\n", sub.c_str(), kUsage);
    return 2;
  }
  auto path = absl::GetFlag(FLAGS_settings);
  if (path.empty())
    path = zinccleat::config::settingsPath();
  auto s = zinccleat::config::loadSettings(path);
  if (!s) {
    std::fprintf(stderr, "zinccleat %s: %s\n", sub.c_str(), s.error().message.c_str());
    return 2;
  }
  zinccleat::log::setNodeName(s->node + "/" + sub);
  zinccleat::log::setVerbose(absl::GetFlag(FLAGS_verbose));
  const int rc = sub == "proxy"   ? zinccleat::proxy_daemon::runProxy(*s)
                 : sub == "agent" ? zinccleat::agent::runAgent(*s)
                                  : zinccleat::controller::runController(*s);
  quit(rc);
}
