/// HTTP requests to the controllers' control API, for operators' tools and between sites.
///
/// The functions block a fiber of the running event loop, never a thread.
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
  std::string path;  ///< begins with a slash
  std::string body;  ///< JSON, or empty
  std::vector<HttpHeader> headers;
  std::function<bool()> mayStillSend;  ///< asked once the connection stands; false: nothing is sent. Unset: true
};
/// A controller's answer.
struct CallResponse {
  int status = 0;  ///< HTTP status
  std::string body;
  std::string address;  ///< "IP:port" of the node that answered
};
/// Sends a request to one node and follows up to two redirections (307), as followers send them to the leader.
/// @param address "IP:port"
/// @param timeout for each node that is asked
/// @return the answer with any status, `ErrorCode::unavailable` if there was none, or the error of a malformed address
Result<CallResponse> callOne(const std::string& address, const Call& call, Duration timeout);
/// Sends a request to the addresses in turn until one answers with a status below 500.
/// @return that answer, or what the last address gave
Result<CallResponse> callAny(const std::vector<std::string>& addresses, const Call& call, Duration timeout);
}  // namespace zinccleat::operations
