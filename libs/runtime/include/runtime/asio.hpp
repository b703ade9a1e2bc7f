/// Short names for what this project uses of Boost.Asio.
#pragma once
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
namespace zinccleat {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
}  // namespace zinccleat
namespace zinccleat::runtime {
/// What a socket operation reports; false if it succeeded.
using SocketError = boost::system::error_code;
}  // namespace zinccleat::runtime
