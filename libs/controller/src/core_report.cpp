// What a core machine tells operators, as JSON.
#include "config/control_requests.hpp"
#include "core.hpp"

namespace zinccleat::controller {
namespace {
/// The fields of one JSON object, in the order in which they are added.
class JsonFields {
 public:
  JsonFields& raw(const char* name, const std::string& value) {
    text_ += (text_.empty() ? "\"" : ",\"") + std::string(name) + "\":" + value;
    return *this;
  }
  JsonFields& text(const char* name, const std::string& value) { return raw(name, config::quoteJson(value)); }
  JsonFields& flag(const char* name, bool value) { return raw(name, value ? "true" : "false"); }
  template <class Number>
  JsonFields& number(const char* name, Number value) {
    return raw(name, std::to_string(value));
  }
  std::string object() const { return "{" + text_ + "}"; }

 private:
  std::string text_;
};
std::string arrayOf(const std::vector<std::string>& elements) {
  std::string text;
  for (auto& element : elements)
    text += (text.empty() ? "" : ",") + element;
  return "[" + text + "]";
}
const char* nameOf(consensus::Role role) {
  static const char* names[] = {"learner", "follower", "candidate", "leader"};
  return names[static_cast<int>(role)];
}
}  // namespace

std::string Core::zoneDrainsJson() const {
  const auto now = Clock::now();
  std::vector<std::string> zoneDrains;
  for (auto& zoneDrain : shared_.copy.state().zoneDrains) {
    const auto progress = desk_.progressOf(zoneDrain.zone, now);
    zoneDrains.push_back(JsonFields()
                             .text("place", zoneDrain.zone)
                             .text("note", zoneDrain.note)
                             .number("share", zoneDrain.drainPercent)
                             .flag("doorsShut", zoneDrain.notAccepting)
                             .number("atItsRunners", static_cast<int>(progress.atItsRunners))
                             .number("atItsProxies", static_cast<int>(progress.atItsProxies))
                             .number("nodesHeard", progress.nodesHeard)
                             .object());
  }
  return JsonFields().number("requestsPerS", requestsPerS()).raw("closures", arrayOf(zoneDrains)).object();
}
std::string Core::statusJson() const {
  const auto now = Clock::now();
  const auto& raft = *shared_.raft;
  const auto& state = shared_.copy.state();
  const auto* hints = hints_.table();
  std::vector<std::string> members;
  std::vector<std::string> runners;
  for (auto& voter : raft.voters())
    members.push_back(config::quoteJson(voter));
  for (auto& runner : state.runners)
    runners.push_back(
        JsonFields()
            .text("id", runner.id)
            .text("service", runner.service)
            .text("address", runner.address)
            .text("state", runner.runnerState() == state_machine::RunnerState::inService ? "in_service" : "draining")
            .object());
  JsonFields fields;
  fields.text("node", shared_.settings.node).text("member", raft.self()).text("role", nameOf(raft.role()));
  fields.number("term", raft.term()).text("leader", raft.leader()).flag("leased", raft.hasLease(now));
  fields.flag("inContact", raft.inContactWithMajority(now)).flag("diskSick", raft.diskStalled());
  fields.number("released", raft.commitIndex()).number("applied", state.index).number("version", state.version);
  fields.number("agents", agents_.count()).number("waitingBytes", agents_.waitingBytes());
  fields.number("snapshotsDeclined", raft.snapshotsRefused());
  fields.number("seedsDeclined", shared_.seedsDeclined);
  fields.number("framesDeclined", transport::trafficCounters().framesDeclined);
  fields.number("framesOfOtherFormats", transport::trafficCounters().framesOfOtherFormats);
  fields.number("hintsTold", hints ? hints->announcedCount() : 0)
      .number("hintsKnown", hints ? hints->partnerCount() : 0);
  fields.number("hintsDeclined", hints ? hints->rejectedCount() : 0);
  fields.number("runnersAside", desk_.outliers().list().size());
  fields.number("wordsDeclined", desk_.outliers().errorResponse());
  return fields.raw("members", arrayOf(members)).raw("runners", arrayOf(runners)).object();
}
}  // namespace zinccleat::controller
