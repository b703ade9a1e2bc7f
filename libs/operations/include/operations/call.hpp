/// HTTP client of the controllers' control API, used by operators' tools and between sites.
///
/// The functions must be called on a fiber of the running event loop. They block that fiber, not the thread.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::operations {
/// One header field of a request.
struct HttpHeader {
  std::string name;
  std::string value;
};
/// A request to the control API.
struct Call {
  std::string method = "GET";
  std::string path;  ///< request target; begins with a slash
  std::string body;  ///< JSON, or empty for no body
  std::vector<HttpHeader> headers;
  /// Called after the connection is established and before the request is written. If it returns false, nothing is
  /// sent and the call fails with `ErrorCode::unavailable`. If it is not set, the request is always sent.
  std::function<bool()> mayStillSend;
  /// A larger body of an answer is an error.
  std::size_t maxAnswerBytes = std::size_t{64} << 20;
};
/// A controller's response.
struct CallResponse {
  int status = 0;  ///< HTTP status
  std::string body;
  std::string address;  ///< "IP:port" of the node that sent the response
};
/// Sends a request to one node. Follows up to two redirects (status 307), with which followers refer to the leader.
/// @param address "IP:port"
/// @param timeout time limit of the request to each node, including those that a redirect names
/// @return the response, whatever its status; `ErrorCode::unavailable` if no response was received; or the parse error
///   of a malformed address
Result<CallResponse> callOne(const std::string& address, const Call& call, Duration timeout);
/// Sends a request to the addresses in turn until one responds with a status below 500.
/// @param timeout as for `callOne`
/// @return the first response with a status below 500; if there is none, the result of the last address;
///   `ErrorCode::invalidArgument` if `addresses` is empty
Result<CallResponse> callAny(const std::vector<std::string>& addresses, const Call& call, Duration timeout);
}  // namespace zinccleat::operations
