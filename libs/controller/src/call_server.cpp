#include "call_server.hpp"

#include "proxy/http.hpp"

namespace zc {
namespace {
constexpr std::size_t kMaxBody = 16U << 20;
constexpr std::string_view kJson = "application/json";
constexpr auto kWriteStall = 5s;  // a caller that takes nothing for so long is given up

ApiRequest requestOf(const RequestParser::value_type& r) {
  auto head = [&](const char* name) {
    const auto value = r[name];
    return std::string(value.data(), value.size());
  };
  return {std::string(r.method_string()), std::string(r.target()), r.body(), head("X-Base-Version"),
          head("X-Hint-Seal")};
}
}  // namespace

void CallServer::serve(tcp::socket socket) {
  Connection connection(std::move(socket));
  tune(connection.sock());
  Buffer buffer;
  ReadLimits limits;
  limits.body = kMaxBody;
  for (;;) {
    {
      const IdleScope idle(idleConnections_, connection);
      if (!awaitRequest(connection, buffer, limits.idle))
        return;
    }
    RequestParser parser;
    const auto read = readRequest(connection, buffer, parser, limits);
    if (read.end == ReadEnd::closed)
      return;
    if (read.end == ReadEnd::errorResponse) {
      Ec ec;
      connection.write(asio::buffer(plainAnswer(read.status, "", kJson, jsonError(reasonOf(read.status)), false)), ec);
      return;
    }
    ++inFlight_;
    const bool more = answerOn(connection, requestOf(parser.get()), parser.get().keep_alive());
    --inFlight_;
    if (!more)
      return;
  }
}
bool CallServer::answerOn(Connection& connection, const ApiRequest& request, bool keepAlive) {
  const auto response = takesCalls_ ? answerCall(core_, request, uri_) : errorResponse(503, "shutting down");
  const bool keep = keepAlive && takesCalls_;
  Ec ec;
  connection.due(Clock::now() + kWriteStall);
  connection.write(asio::buffer(plainAnswer(response.status, response.heads, kJson, response.body, keep)), ec);
  connection.undue();
  return !ec && keep;
}
void CallServer::stopTakingCalls() {
  takesCalls_ = false;
  idleConnections_.limit(Span(0));
}
}  // namespace zc
