/// @file
/// The control API for runners and operators (api/control.yaml), without sockets: a request in, a response out.
///
/// What holds for each call:
/// - A controller without recent contact with a majority acknowledges nothing and refuses nothing: it answers 503, and
///   the caller goes on to another controller. Heartbeats too: the leader would not hear of them, and would let a
///   healthy runner expire whose `heartbeatUri` keeps it here. What the replica knows to be committed for good (a
///   configuration that was accepted, a runner that has detached) may still be confirmed: nothing undoes it.
/// - No response takes longer than its caller waits (a second, more for a large body).
/// - A 4xx follows from the call's own text or from the outcome of a committed write, never from a replica that may be
///   old.
#pragma once
#include <boost/beast/http/status.hpp>

#include "controller_services.hpp"
namespace zinccleat::controller {
/// HTTP statuses by their standard names.
using HttpStatus = boost::beast::http::status;

/// What the control API needs of an HTTP request.
struct ApiRequest {
  std::string method;
  std::string target;  ///< path and query
  std::string body;
  std::string baseVersion;  ///< the header X-Base-Version
  std::string hintSeal;     ///< the header X-Hint-Seal
};
/// What the control API puts into an HTTP response.
struct ApiResponse {
  HttpStatus status = HttpStatus::ok;
  std::string body = "{}";            ///< JSON, except for prefix hints
  std::string headers;                ///< complete lines
  bool closeWithoutResponse = false;  ///< nothing is sent and the connection ends: any status would promise too much
};
/// May park the calling fiber.
/// @param heartbeatUri where a runner that is acknowledged here is to send its next heartbeats.
ApiResponse answerApiRequest(ControllerServices& services, const ApiRequest& request, const std::string& heartbeatUri);
}  // namespace zinccleat::controller
