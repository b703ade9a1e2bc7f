#include "simulation/plan.hpp"

#include <sstream>

#include "config/json.hpp"

namespace zinccleat::simulation {
namespace {
constexpr std::string_view kMembers[] = {
    "core",     "nodes",      "pair",      "runners", "tenants", "routes", "requestsPerS", "changesPerMinute",
    "restarts", "runnerEnds", "coreKills", "seconds", "seed"};

// One JSON object of all pairs, so that a value given on the command line is checked like one in the file.
Result<std::string> objectOf(const std::vector<std::string>& overrides) {
  std::string members;
  for (const auto& override : overrides) {
    const auto equals = override.find('=');
    if (equals == std::string::npos || equals == 0)
      return makeError(ErrorCode::invalidArgument, "'" + override + "' is no name=value");
    members += members.empty() ? "" : ",";
    members += "\"" + override.substr(0, equals) + "\":" + override.substr(equals + 1);
  }
  return "{" + members + "}";
}
void checkMembers(config::JsonObject& object, config::JsonReader& reader) {
  for (auto member : object)
    if (std::find(std::begin(kMembers), std::end(kMembers), member.key) == std::end(kMembers))
      reader.fail("unknown field", member.key);
}
Result<void> readInto(ScaleRunPlan& plan, std::string_view json) {
  config::JsonDocument document(json);
  config::JsonObject object;
  if (!document.object(object))
    return makeError(ErrorCode::invalidArgument, "a scale run's plan is no JSON object");
  config::JsonReader reader;
  checkMembers(object, reader);
  reader.integer(object, "core", plan.core);
  reader.integer(object, "nodes", plan.nodes);
  reader.integer(object, "pair", plan.pair);
  reader.integer(object, "runners", plan.runners);
  reader.integer(object, "tenants", plan.tenants);
  reader.integer(object, "routes", plan.routes);
  reader.number(object, "requestsPerS", plan.requestsPerS);
  reader.number(object, "changesPerMinute", plan.changesPerMinute);
  reader.integer(object, "restarts", plan.restarts);
  reader.integer(object, "runnerEnds", plan.runnerEnds);
  reader.integer(object, "coreKills", plan.coreKills);
  reader.integer(object, "seconds", plan.seconds);
  reader.integer(object, "seed", plan.seed);
  if (!reader.error().empty())
    return makeError(ErrorCode::invalidArgument, reader.error());
  return {};
}
struct Bounds {
  const char* name;
  double value, least, most;
};
Result<void> checkBounds(const ScaleRunPlan& plan) {
  const Bounds bounds[] = {
      {"core", static_cast<double>(plan.core), 1, 9},
      {"nodes", static_cast<double>(plan.nodes), 1, 1000},
      {"pair", static_cast<double>(plan.pair), 0, 1},
      {"runners", static_cast<double>(plan.runners), 0, 2000},
      {"tenants", static_cast<double>(plan.tenants), 1, 20'000},
      {"routes", static_cast<double>(plan.routes), 1, 5000},
      {"requestsPerS", plan.requestsPerS, 0, 20'000},
      {"changesPerMinute", plan.changesPerMinute, 0, 600},
      {"runnerEnds", static_cast<double>(plan.runnerEnds), 0, 10'000},
      {"coreKills", static_cast<double>(plan.coreKills), 0, 10},
      {"restarts", static_cast<double>(plan.restarts), 0, 10'000},
      {"seconds", static_cast<double>(plan.seconds), 1, 600},
  };
  for (const auto& bound : bounds)
    if (bound.value < bound.least || bound.value > bound.most)
      return makeError(ErrorCode::invalidArgument, std::string("out of bounds '") + bound.name + "'");
  return {};
}
void writeRoute(std::ostream& out, int number) {
  constexpr int kHosts = 40;
  out << "{\"label\":\"route-" << number << "\",\"authority\":\"host" << number % kHosts
      << ".example\",\"pathPrefix\":\"/p" << number
      << "/\",\"routeType\":\"stream\",\"expiryMs\":10000,\"targetLatencyMs\":600,\"precedence\":1,"
         "\"targetService\":\"models\",\"maxAttempts\":2,"
         "\"keyless\":false,\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":300}";
}
void writeSubscriber(std::ostream& out, int number, int keyNumber, double ratePerS) {
  out << "{\"label\":\"tenant-" << number << "\",\"accessKeys\":[\"key-" << number << "-a-0123456789abcdef\",\"key-"
      << number << "-b-" << keyNumber << "-0123456789abcdef\"],\"precedence\":1,\"ratePerS\":" << ratePerS
      << ",\"burstSize\":" << ratePerS << "}";
}
}  // namespace

Result<ScaleRunPlan> parsePlan(std::string_view text, const std::vector<std::string>& overrides) {
  const auto overriding = objectOf(overrides);
  if (!overriding)
    return tl::unexpected(overriding.error());
  ScaleRunPlan plan;
  if (auto read = readInto(plan, text); !read)
    return tl::unexpected(read.error());
  if (auto read = readInto(plan, *overriding); !read)
    return tl::unexpected(read.error());
  if (auto checked = checkBounds(plan); !checked)
    return tl::unexpected(checked.error());
  return plan;
}
std::string planConfiguration(const ScaleRunPlan& plan, std::int64_t version, const std::vector<int>& keyNumbers) {
  // Twice each tenant's even part of the requests: below the limit, as on a quiet day.
  const double ratePerS = std::max(1.0, 2 * plan.requestsPerS / plan.tenants);
  std::ostringstream out;
  out << "{\"configVersion\":" << version << ",\"routeTable\":[";
  for (int i = 0; i < plan.routes; ++i) {
    out << (i ? "," : "");
    writeRoute(out, i);
  }
  out << "],\"serviceTable\":[{\"label\":\"models\",\"healthPath\":\"/health\",\"connLimit\":500}],"
         "\"limits\":{\"maxBodyBytes\":4194304},\"subscribers\":[";
  for (int i = 0; i < plan.tenants; ++i) {
    out << (i ? "," : "");
    writeSubscriber(out, i, keyNumbers[static_cast<std::size_t>(i)], ratePerS);
  }
  out << "]}";
  return out.str();
}
}  // namespace zinccleat::simulation
