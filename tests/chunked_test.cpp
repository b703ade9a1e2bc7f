// Chunked bodies that arrive in two parts, split at every possible position. Guards against an assertion failure in the
// HTTP parser, which ended the process when the last line of an empty body arrived separately.
#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::proxy_testing;

TEST(Chunked, AnEmptyBodyWhoseLastLineComesLaterIsRead) {
  const std::string head =
      "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key1\r\nX-Attempt-Id: a1\r\n"
      "X-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string body = "0\r\n\r\n";
  for (std::size_t cut = 1; cut < body.size(); ++cut)
    withProxy([&](TestProxy& proxy) {
      auto runner = proxy.runner("i-1", respondOk);
      auto connection = proxy.connectClient();
      Buffer buffer;
      sendBytes(*connection, head + body.substr(0, cut));
      EventLoop::get().sleepFor(5ms);
      sendBytes(*connection, body.substr(cut));
      EXPECT_EQ(readResponse(*connection, buffer).status, 200) << "cut at " << cut;
    });
}
