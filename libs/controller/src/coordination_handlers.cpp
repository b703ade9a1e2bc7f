/// @file
/// Handlers of the coordination calls of applications: locks, numbers, cells and watches.
///
/// Status 409 and 412 report the outcome of a committed entry. Status 503 and 429 are given only if the command did not
/// run and never will. If the outcome is unknown, the connection is closed without an answer, and the caller sends the
/// call again.
#include "api_handlers.hpp"
#include "api_responses.hpp"
#include "config/coordination_requests.hpp"
#include "json_object.hpp"

namespace zinccleat::controller {
namespace {
using coordination::Command;
using coordination::CommandKind;
using coordination::Outcome;
using coordination::OutcomeKind;

Command commandOf(CommandKind kind, std::string_view name) {
  Command command;
  command.kind = static_cast<std::int32_t>(kind);
  command.name = std::string(name);
  return command;
}
ApiResponse okResponse(std::string body) {
  return {HttpStatus::ok, std::move(body), ""};
}
ApiResponse numberResponse(HttpStatus status, std::string_view name, std::int64_t number) {
  return {status, JsonObject().number(name, number).json(), ""};
}
/// Builds the response to an outcome other than `OutcomeKind::done`.
ApiResponse failureResponse(const Outcome& outcome) {
  switch (outcome.result()) {
    case OutcomeKind::lockTaken:
      return errorResponse(HttpStatus::conflict, "another holds the lock, or the hold is over");
    case OutcomeKind::revisionMismatch:
      return numberResponse(HttpStatus::precondition_failed, "revision", outcome.number);
    case OutcomeKind::notFound:
      return errorResponse(HttpStatus::not_found, "no such cell");
    case OutcomeKind::limitReached:
      return errorResponse(HttpStatus::too_many_requests, "no room for another name or value");
    case OutcomeKind::done:
      break;
  }
  return okResponse("{}");
}
/// Runs a command and builds the response from its outcome.
template <class Answer>
ApiResponse executeCommand(const ApiCall& call, const Command& command, Answer&& makeResponse) {
  const ResponseDeadline deadline;
  if (auto named = config::checkName(command.name); !named)
    return errorResponse(named.error());
  const auto outcome = call.services.executeCoordinationCommand(command, deadline.left());
  if (!outcome)
    return errorResponse(outcome.error());
  return outcome->result() == OutcomeKind::done ? makeResponse(*outcome) : failureResponse(*outcome);
}
/// Handles one of the calls on a lock.
template <class Answer>
ApiResponse lockCall(const ApiCall& call, CommandKind kind, config::LockFields required, Answer&& makeResponse) {
  const auto request = config::parseLockRequest(call.request.body, required);
  if (!request)
    return errorResponse(request.error());
  auto command = commandOf(kind, call.subject);
  command.holder = request->holder;
  command.fence = request->fence;
  command.holdMs = request->holdMs;
  return executeCommand(call, command, makeResponse);
}
ApiResponse emptyResponse(const Outcome&) {
  return okResponse("{}");
}
std::string eventJson(const coordination::CellEvent& event) {
  return JsonObject().text("label", event.cell).text("value", event.value).number("revision", event.revision).json();
}
}  // namespace

ApiResponse handleBeginLock(const ApiCall& call) {
  // Its holder may have got the lock from another controller since. Acquired once more, the lock would have a fence
  // that the holder does not know.
  if (call.callerHasLeft())
    return errorResponse(callerLeftError());
  return lockCall(call, CommandKind::acquireLock, {.fence = false, .hold = true},
                  [](const Outcome& outcome) { return numberResponse(HttpStatus::ok, "fenceNumber", outcome.number); });
}
ApiResponse handleRenewLock(const ApiCall& call) {
  return lockCall(call, CommandKind::renewLock, {.fence = true, .hold = true}, emptyResponse);
}
ApiResponse handleReleaseLock(const ApiCall& call) {
  return lockCall(call, CommandKind::releaseLock, {.fence = true, .hold = false}, emptyResponse);
}
ApiResponse handleNextNumber(const ApiCall& call) {
  return executeCommand(call, commandOf(CommandKind::nextNumber, call.subject),
                        [](const Outcome& outcome) { return numberResponse(HttpStatus::ok, "value", outcome.number); });
}
ApiResponse handleReplaceCell(const ApiCall& call) {
  const auto request = config::parsePutRequest(call.request.body);
  if (!request)
    return errorResponse(request.error());
  auto command = commandOf(CommandKind::putCell, call.subject);
  command.value = request->value;
  command.argument = request->appliesTo.value_or(coordination::kAnyRevision);
  return executeCommand(
      call, command, [](const Outcome& outcome) { return numberResponse(HttpStatus::ok, "revision", outcome.number); });
}
ApiResponse handleRetrieveCell(const ApiCall& call) {
  return executeCommand(call, commandOf(CommandKind::getCell, call.subject), [](const Outcome& outcome) {
    return okResponse(JsonObject().text("value", outcome.value).number("revision", outcome.number).json());
  });
}
ApiResponse handleWatch(const ApiCall& call) {
  const auto& target = call.request.target;
  const auto queryAt = target.find('?');
  const auto query = queryAt == std::string::npos ? std::string_view{} : std::string_view(target).substr(queryAt + 1);
  const auto request = config::parseWatchRequest(query);
  if (!request)
    return errorResponse(request.error());
  if (auto named = config::checkName(call.subject); !named)
    return errorResponse(named.error());
  const auto found = call.services.watch(std::string(call.subject), request->after, Duration(request->waitMs));
  if (!found)
    return errorResponse(found.error());
  if (found->discarded)
    return errorResponse(HttpStatus::gone, "puts after that revision are no longer kept");
  std::vector<std::string> events;
  events.reserve(found->events.size());
  for (const auto& event : found->events)
    events.push_back(eventJson(event));
  return okResponse(JsonObject().raw("events", jsonArray(events)).number("revision", found->revision).json());
}
ApiResponse handleShards(const ApiCall& call) {
  return okResponse(call.services.shardsJson());
}
}  // namespace zinccleat::controller
