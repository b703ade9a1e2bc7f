#include "call_server.hpp"

#include "proxy/http.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMaxBody = 16U << 20;
constexpr std::string_view kJson = "application/json";
constexpr auto kWriteStall = 5s;  // a caller that takes nothing for so long is given up

ApiRequest requestOf(const proxy::RequestParser::value_type& r) {
  auto head = [&](const char* name) {
    const auto value = r[name];
    return std::string(value.data(), value.size());
  };
  return {std::string(r.method_string()), std::string(r.target()), r.body(), head("X-Base-Version"),
          head("X-Hint-Seal")};
}
}  // namespace

void CallServer::serve(tcp::socket socket) {
  runtime::Connection connection(std::move(socket));
  runtime::tune(connection.socket());
  proxy::Buffer buffer;
  proxy::ReadLimits limits;
  limits.body = kMaxBody;
  for (;;) {
    {
      const proxy::IdleScope idle(idleConnections_, connection);
      if (!proxy::awaitRequest(connection, buffer, limits.idle))
        return;
    }
    proxy::RequestParser parser;
    const auto read = proxy::readRequest(connection, buffer, parser, limits);
    if (read.outcome == proxy::ReadOutcome::closed)
      return;
    if (read.outcome == proxy::ReadOutcome::rejected) {
      runtime::SocketError ec;
      connection.write(asio::buffer(proxy::plainResponse(read.status, "", kJson,
                                                         proxy::jsonError(proxy::reasonPhrase(read.status)), false)),
                       ec);
      return;
    }
    ++inFlight_;
    const bool more = answerOn(connection, requestOf(parser.get()), parser.get().keep_alive());
    --inFlight_;
    if (!more)
      return;
  }
}
bool CallServer::answerOn(runtime::Connection& connection, const ApiRequest& request, bool keepAlive) {
  const auto response = takesCalls_ ? answerCall(core_, request, uri_) : errorResponse(503, "shutting down");
  const bool keep = keepAlive && takesCalls_;
  runtime::SocketError ec;
  connection.setDeadline(Clock::now() + kWriteStall);
  connection.write(asio::buffer(proxy::plainResponse(response.status, response.heads, kJson, response.body, keep)), ec);
  connection.clearDeadline();
  return !ec && keep;
}
void CallServer::stopTakingCalls() {
  takesCalls_ = false;
  idleConnections_.limit(Duration(0));
}
}  // namespace zinccleat::controller
