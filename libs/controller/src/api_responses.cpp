#include "api_responses.hpp"

#include "proxy/http.hpp"

namespace zinccleat::controller {
namespace {
// Callers give up on a controller after one second without an answer; the remaining 150 ms cover network latency.
constexpr Duration kResponseTimeout{850};
constexpr Duration kMaxResponseTimeout{2500};
constexpr std::size_t kBodyBytesPerExtraMs = 1024;

HttpStatus httpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::invalidArgument:
      return HttpStatus::bad_request;
    case ErrorCode::permissionDenied:
      return HttpStatus::forbidden;
    case ErrorCode::notFound:
      return HttpStatus::not_found;
    case ErrorCode::limitReached:
      return HttpStatus::too_many_requests;
    default:
      return HttpStatus::service_unavailable;
  }
}
}  // namespace

ApiResponse errorResponse(HttpStatus status, std::string_view message) {
  const char* headers = status == HttpStatus::service_unavailable ? "Retry-After: 0.2\r\n" : "";
  return {status, proxy::jsonError(message), headers};
}
ApiResponse errorResponse(const Error& error) {
  if (error.code == ErrorCode::outcomeUnknown)
    return {HttpStatus::internal_server_error, "{}", "", true};
  return errorResponse(httpStatusOf(error.code), error.message);
}
Error callerLeftError() {
  return {ErrorCode::outcomeUnknown, "the caller has left"};
}
ApiResponse noContactResponse() {
  return errorResponse(HttpStatus::service_unavailable, "no contact with a majority of the core");
}
ApiResponse redirectTo(const std::string& address, std::string_view path) {
  return {HttpStatus::temporary_redirect, "{}", "Location: http://" + address + std::string(path) + "\r\n"};
}
ResponseDeadline::ResponseDeadline(std::size_t bodyBytes) {
  const Duration extra(static_cast<std::int64_t>(bodyBytes / kBodyBytesPerExtraMs));
  deadline_ = Clock::now() + std::min(kMaxResponseTimeout, kResponseTimeout + extra);
}
Duration ResponseDeadline::left() const {
  return std::max(Duration(0), toDuration(deadline_ - Clock::now()));
}
bool isZoneOrRegion(const config::Settings& settings, const std::string& name) {
  return std::any_of(settings.zones.begin(), settings.zones.end(), [&](const auto& zoneToRegion) {
    return zoneToRegion.first == name || zoneToRegion.second == name;
  });
}
std::optional<ApiResponse> errorUnlessFresh(ControllerServices& services, const ResponseDeadline& deadline) {
  if (!services.awaitContact(kContactTimeout))
    return noContactResponse();
  if (auto fresh = services.awaitReadIndex(deadline.left()); !fresh)
    return errorResponse(fresh.error());
  return std::nullopt;
}
}  // namespace zinccleat::controller
