/// Short aliases for the parts of Boost.Asio that this project uses.
#pragma once
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
namespace zinccleat {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
}  // namespace zinccleat
namespace zinccleat::runtime {
/// The error code of a socket operation; converts to false on success.
using SocketError = boost::system::error_code;
}  // namespace zinccleat::runtime
