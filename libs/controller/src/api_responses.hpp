/// @file
/// Responses shared by several handlers of the control API, and the deadline of a response.
#pragma once
#include "control_api.hpp"
namespace zinccleat::controller {
/// How long a call waits for contact with a majority. A change of leader interrupts contact on all controllers at the
/// same time, for less than a second. Waiting briefly spares the caller a series of growing backoffs.
constexpr Duration kContactTimeout{300};

/// Builds an error response. A 503 also carries a Retry-After header.
ApiResponse errorResponse(HttpStatus status, std::string_view message);
/// Builds a response from an error code: status 400, 403, 404 or 429, or 503 for any other code. For an unknown outcome
/// the connection is closed without a response.
ApiResponse errorResponse(const Error& error);
/// The error of a call that is not carried out because its caller has left. It leads to no response.
Error callerLeftError();
/// Builds a 503 response: this controller has no contact with a majority.
ApiResponse noContactResponse();
/// Builds a redirect to the leader.
/// @param address IP:PORT of the leader's control API.
ApiResponse redirectTo(const std::string& address, std::string_view path);

/// The time limit of one response, including all its waits.
class ResponseDeadline {
 public:
  /// @param bodyBytes size of the request body: callers wait longer for the answer to a large body.
  explicit ResponseDeadline(std::size_t bodyBytes = 0);
  /// Time left until the deadline, at least 0.
  Duration left() const;

 private:
  TimePoint deadline_;
};
/// Whether the settings define a zone or region with this name.
bool isZoneOrRegion(const config::Settings& settings, const std::string& name);
/// Waits until this controller has contact with a majority and its replica includes every write acknowledged before the
/// call.
/// @return an error response if that does not happen in time; none: the replica may be read.
std::optional<ApiResponse> errorUnlessFresh(ControllerServices& services, const ResponseDeadline& deadline);
}  // namespace zinccleat::controller
