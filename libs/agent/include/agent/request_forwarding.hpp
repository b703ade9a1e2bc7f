/// Classifies the messages that the agent forwards between the proxy and the leader: the proxy's requests and the
/// leader's responses. Pure.
#pragma once
#include "transport/envelope.hpp"
namespace zinccleat::agent {
/// Whether a message from the proxy is a request for the leader.
constexpr bool isRequestForLeader(transport::MessageType type) {
  using transport::MessageType;
  return type == MessageType::leaseRequest || type == MessageType::quotaTokenRequest ||
         type == MessageType::prefixLookupRequest;
}
/// Whether a message from the core is a response for the proxy.
constexpr bool isResponseForProxy(transport::MessageType type) {
  using transport::MessageType;
  return type == MessageType::leaseResponse || type == MessageType::quotaTokenResponse ||
         type == MessageType::prefixLookupResponse;
}
}  // namespace zinccleat::agent
