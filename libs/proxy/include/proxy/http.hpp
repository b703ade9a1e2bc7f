// Requests read and plain answers written on a connection, with the library's parser.
#pragma once
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>

#include "runtime/event_loop.hpp"
namespace zinccleat {
namespace http = boost::beast::http;
}  // namespace zinccleat
namespace zinccleat::proxy {
using Buffer = boost::beast::flat_buffer;
using RequestParser = http::request_parser<http::string_body>;

struct ReadLimits {
  std::size_t header = 16384, body = 4194304;
  Duration idle{15000}, headerTime{3000}, bodyTime{10000};
};
enum class ReadEnd { whole, closed, errorResponse };
struct ReadResult {
  ReadEnd end = ReadEnd::closed;
  int status = 0;  // for errorResponse
};
// Waits until the first bytes of a request are in buf, for as long as the connection may be idle. False: it has ended.
bool awaitRequest(runtime::Connection& w, Buffer& buf, Duration idle);
// Reads one request; whatever follows it stays in buf.
ReadResult readRequest(runtime::Connection& w, Buffer& buf, RequestParser& p, const ReadLimits& l);
// Feeds the parser from buf and the connection until its head (or all of it) is read.
template <class Parser>
void pump(runtime::Connection& w, Buffer& buf, Parser& p, bool headOnly, runtime::SocketError& ec);

std::string_view reasonOf(int status);
std::string plainAnswer(int status, std::string_view extraHeads, std::string_view type, std::string_view body,
                        bool keep);
std::string jsonError(std::string_view text);

template <class Parser>
void pump(runtime::Connection& w, Buffer& buf, Parser& p, bool headOnly, runtime::SocketError& ec) {
  for (;;) {
    if (p.is_done() || (headOnly && p.is_header_done())) {
      ec = {};
      return;
    }
    if (buf.size() > 0) {
      const auto n = p.put(buf.data(), ec);
      buf.consume(n);
      if (ec && ec != http::error::need_more)
        return;
      if (n > 0)
        continue;
    }
    ec = {};
    const auto room = buf.prepare(std::size_t{8} * 1024);
    const auto n = w.read(room, ec);
    if (ec) {
      if (ec == asio::error::eof && p.is_header_done() && !p.chunked() && !p.content_length()) {
        runtime::SocketError done;
        p.put_eof(done);
        if (!done)
          ec = {};
      }
      return;
    }
    buf.commit(n);
  }
}
}  // namespace zinccleat::proxy
