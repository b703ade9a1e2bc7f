#include "simulation/plan.hpp"

#include <charconv>
#include <sstream>

#include "config/json.hpp"

namespace zinccleat::simulation {
Result<ScaleRunPlan> parsePlan(std::string_view text, const std::vector<std::string>& sets) {
  // Why through the same reader: a value given on the command line is checked like one in the file.
  std::string more;
  for (auto& s : sets) {
    const auto eq = s.find('=');
    if (eq == std::string::npos || eq == 0)
      return makeError(ErrorCode::invalidArgument, "'" + s + "' is no name=value");
    more += (more.empty() ? "" : ",") + ("\"" + s.substr(0, eq) + "\":" + s.substr(eq + 1));
  }
  ScaleRunPlan p;
  std::string wrong;
  auto read = [&](std::string_view json) {
    config::JsonDocument doc(json);
    config::JsonObject o;
    if (!doc.object(o)) {
      wrong = "a scale run's plan is no JSON object";
      return;
    }
    config::JsonReader r;
    for (auto f : o) {
      static const std::vector<std::string_view> known = {
          "core",     "nodes",      "pair",      "runners", "tenants", "routes", "requestsPerS", "changesPerMinute",
          "restarts", "runnerEnds", "coreKills", "seconds", "seed"};
      if (std::find(known.begin(), known.end(), f.key) == known.end())
        r.fail("unknown field", f.key);
    }
    r.integer(o, "core", p.core);
    r.integer(o, "nodes", p.nodes);
    r.integer(o, "pair", p.pair);
    r.integer(o, "runners", p.runners);
    r.integer(o, "tenants", p.tenants);
    r.integer(o, "routes", p.routes);
    r.number(o, "requestsPerS", p.requestsPerS);
    r.number(o, "changesPerMinute", p.changesPerMinute);
    r.integer(o, "restarts", p.restarts);
    r.integer(o, "runnerEnds", p.runnerEnds);
    r.integer(o, "coreKills", p.coreKills);
    r.integer(o, "seconds", p.seconds);
    r.integer(o, "seed", p.seed);
    if (wrong.empty())
      wrong = r.error();
  };
  read(text);
  if (wrong.empty() && !more.empty())
    read("{" + more + "}");
  auto within = [&](const char* name, double v, double least, double most) {
    if (wrong.empty() && (v < least || v > most))
      wrong = std::string("out of bounds '") + name + "'";
  };
  within("core", p.core, 1, 9);
  within("nodes", p.nodes, 1, 1000);
  within("pair", p.pair, 0, 1);
  within("runners", p.runners, 0, 2000);
  within("tenants", p.tenants, 1, 20000);
  within("routes", p.routes, 1, 5000);
  within("requestsPerS", p.requestsPerS, 0, 20000);
  within("changesPerMinute", p.changesPerMinute, 0, 600);
  within("runnerEnds", p.runnerEnds, 0, 10000);
  within("coreKills", p.coreKills, 0, 10);
  within("restarts", p.restarts, 0, 10000);
  within("seconds", p.seconds, 1, 600);
  if (!wrong.empty())
    return makeError(ErrorCode::invalidArgument, wrong);
  return p;
}
std::string planConfiguration(const ScaleRunPlan& p, std::int64_t version, const std::vector<int>& keyNo) {
  std::ostringstream s;
  s << "{\"configVersion\":" << version << ",\"routeTable\":[";
  for (int i = 0; i < p.routes; ++i)
    s << (i ? "," : "") << "{\"label\":\"route-" << i << "\",\"authority\":\"host" << i % 40
      << ".example\",\"pathPrefix\":\"/p" << i
      << "/\",\"routeType\":\"stream\",\"expiryMs\":10000,\"targetLatencyMs\":600,\"precedence\":1,\"targetService\":"
         "\"models\",\"maxAttempts\":2,"
         "\"keyless\":false,\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":300}";
  s << "],\"serviceTable\":[{\"label\":\"models\",\"healthPath\":\"/"
       "health\",\"connLimit\":500}],\"limits\":{\"maxBodyBytes\":4194304},"
       "\"subscribers\":[";
  // Each may send twice its even part: below the limit, as on a quiet day.
  const double rate = std::max(1.0, 2 * p.requestsPerS / p.tenants);
  for (int i = 0; i < p.tenants; ++i)
    s << (i ? "," : "") << "{\"label\":\"tenant-" << i << "\",\"accessKeys\":[\"key-" << i
      << "-a-0123456789abcdef\",\"key-" << i << "-b-" << keyNo[static_cast<std::size_t>(i)]
      << "-0123456789abcdef\"],\"precedence\":1,\"ratePerS\":" << rate << ",\"burstSize\":" << rate << "}";
  s << "]}";
  return s.str();
}
}  // namespace zinccleat::simulation
