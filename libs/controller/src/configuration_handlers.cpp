/// @file
/// Handlers of the operators' calls that replace and retrieve the configuration.
#include <charconv>

#include "api_handlers.hpp"
#include "api_responses.hpp"
#include "config/configuration.hpp"

namespace zinccleat::controller {
namespace {
using state_machine::ReplicatedState;

/// The version numbers in a Replace call.
struct Replacement {
  std::int64_t baseVersion = 0;  ///< version of the configuration that the call replaces
  std::int64_t version = 0;      ///< version of the new configuration
};
Result<std::int64_t> parseBaseVersion(std::string_view header) {
  constexpr std::uint64_t kMaxVersion = 10'000'000'000'000'009;
  std::uint64_t version = 0;
  const auto* end = header.data() + header.size();
  const auto parsed = std::from_chars(header.data(), end, version);
  const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == end;
  if (!header.empty() && (!isNumber || version > kMaxVersion))
    return makeError(ErrorCode::invalidArgument, "X-Base-Version is no number");
  return static_cast<std::int64_t>(version);
}
Result<Replacement> parseReplacement(const ApiRequest& request) {
  const auto configuration = config::parseConfiguration(request.body);
  if (!configuration)
    return tl::unexpected(configuration.error());
  const auto base = parseBaseVersion(request.baseVersion);
  if (!base)
    return tl::unexpected(base.error());
  return Replacement{*base, (*configuration)->version};
}
ApiResponse acceptedResponse(std::int64_t version) {
  return {HttpStatus::ok, "{\"configVersion\":" + std::to_string(version) + "}", ""};
}
ApiResponse responseTo(const Replacement& replacement, ReplicatedState::Verdict outcome) {
  switch (outcome) {
    case ReplicatedState::Verdict::acknowledged:
      return acceptedResponse(replacement.version);
    case ReplicatedState::Verdict::outcomeUnknown:
      return errorResponse(HttpStatus::service_unavailable, "too old to tell whether it was taken");
    case ReplicatedState::Verdict::versionMismatch:
      return errorResponse(HttpStatus::precondition_failed, "another configuration is in place");
    default:
      return errorResponse(static_cast<HttpStatus>(outcome), "configVersion is not above the current one");
  }
}
}  // namespace

ApiResponse handleReplaceConfiguration(const ApiCall& call) {
  auto& services = call.services;
  const auto& body = call.request.body;
  const ResponseDeadline deadline(body.size());
  const auto replacement = parseReplacement(call.request);
  if (!replacement)
    return errorResponse(replacement.error());
  const auto [base, version] = *replacement;
  // This replica may lag, but an accepted configuration stays accepted. A lagging replica may therefore confirm an
  // earlier acceptance, and nothing else.
  if (services.replica().evaluateReplace(base, version, digestOf(body)) == ReplicatedState::Verdict::acknowledged)
    return acceptedResponse(version);
  if (!services.awaitContact(kContactTimeout))
    return noContactResponse();
  auto entry = state_machine::configurationChangeEntry(base, version, body, services.nextOperationId(),
                                                       services.replica().state());
  const auto outcome = services.write(std::move(entry), deadline.left());
  return outcome ? responseTo(*replacement, *outcome) : errorResponse(outcome.error());
}
ApiResponse handleRetrieveConfiguration(const ApiCall& call) {
  const ResponseDeadline deadline;
  auto& services = call.services;
  if (auto response = errorUnlessFresh(services, deadline))
    return *response;
  const auto& configuration = services.replica().state().configuration;
  if (configuration.empty())
    return errorResponse(HttpStatus::not_found, "no configuration yet");
  return {HttpStatus::ok, configuration, ""};
}
}  // namespace zinccleat::controller
