/// @file
/// The control API for runners and operators (api/control.yaml), independent of sockets: it maps a request to a
/// response.
///
/// Rules for every call:
/// - A controller without recent contact with a majority neither acknowledges nor rejects a call. It answers 503, and
///   the caller tries another controller. This includes heartbeats: the leader would not receive them, and a healthy
///   runner whose `heartbeatUri` points to this controller would expire. Facts that the replica knows to be committed
///   permanently (an accepted configuration, a detached runner) may still be confirmed, because nothing reverts them.
/// - No response takes longer than its caller waits: one second, more for a large body.
/// - A 4xx status is derived from the text of the call itself or from the outcome of a committed write, never from a
///   replica that may be stale.
#pragma once
#include <boost/beast/http/status.hpp>

#include "controller_services.hpp"
namespace zinccleat::controller {
/// HTTP status codes under their standard names.
using HttpStatus = boost::beast::http::status;

/// The parts of an HTTP request that the control API uses.
struct ApiRequest {
  std::string method;
  std::string target;  ///< path and query string
  std::string body;
  std::string baseVersion;  ///< the header X-Base-Version
  std::string hintSeal;     ///< the header X-Hint-Seal
  /// Whether the caller has closed its connection and so no longer waits for an answer. Waits up to the given time for
  /// the close, which suspends the calling fiber. Empty: the caller is not known to have left.
  std::function<bool(Duration wait)> callerHasLeft = {};
};
/// The parts of an HTTP response that the control API sets.
struct ApiResponse {
  HttpStatus status = HttpStatus::ok;
  std::string body = "{}";  ///< JSON, except for prefix hints
  std::string headers;      ///< complete header lines, each with its line end
  /// Close the connection without a response, because the outcome is unknown and any status would claim one.
  bool closeWithoutResponse = false;
};
/// Handles one request. May suspend the calling fiber.
/// @param heartbeatUri the URI to which a runner acknowledged by this controller sends its next heartbeats.
ApiResponse answerApiRequest(ControllerServices& services, const ApiRequest& request, const std::string& heartbeatUri);
}  // namespace zinccleat::controller
