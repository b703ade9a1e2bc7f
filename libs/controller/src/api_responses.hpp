/// @file
/// Responses that several handlers of the control API give, and the time that they may take.
#pragma once
#include "control_api.hpp"
namespace zinccleat::controller {
/// How long a call waits for contact with a majority. A change of the leader takes contact from all controllers at the
/// same time, and for less than a second: a short wait spares the caller a round of growing backoffs.
constexpr Duration kContactTimeout{300};

/// A 503 also says when to retry.
ApiResponse errorResponse(HttpStatus status, std::string_view message);
/// With the HTTP status of the error's code: 400, 403, 404, 429, or 503 for any other; silent for an unknown outcome.
ApiResponse errorResponse(const Error& error);
/// A 503: this controller has no contact with a majority.
ApiResponse noContactResponse();
/// @param address of the leader's control API.
ApiResponse redirectTo(const std::string& address, std::string_view path);

/// The time that one response may take, with all its waits.
class ResponseDeadline {
 public:
  /// @param bodyBytes of the request: callers wait longer for the answer to a large body.
  explicit ResponseDeadline(std::size_t bodyBytes = 0);
  /// Not below 0.
  Duration left() const;

 private:
  TimePoint deadline_;
};
/// Whether the settings name a zone or region so.
bool isZoneOrRegion(const config::Settings& settings, const std::string& name);
/// Waits until this controller has contact with a majority and its replica is as new as the newest acknowledgement.
/// @return the response if that fails in time; none: the replica may be read.
std::optional<ApiResponse> errorUnlessFresh(ControllerServices& services, const ResponseDeadline& deadline);
}  // namespace zinccleat::controller
