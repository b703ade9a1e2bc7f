/// A runner of a trial: a server on loopback that answers pushes and streams and sends heartbeats.
#pragma once
#include <map>
#include <random>

#include "fleet.hpp"
#include "proxy/http.hpp"
namespace zinccleat::simulation {
/// Events of each stream of a trial, and one of them as text.
constexpr int kEventsPerStream = 8;
std::string streamEvent(int number);
/// How often each attempt ran at a runner, by attempt id. A push may run once.
using ExecutionCounts = std::map<std::string, int>;

/// The software of a runner.
struct TrialVersion {
  std::string revision = "v1";
  bool failsEverySecondStream = false;  ///< every other stream is answered with an error
};

class TrialRunner : public std::enable_shared_from_this<TrialRunner> {
 public:
  /// Listens at a port that the kernel chooses. All references must outlive the event loop's last turn.
  TrialRunner(const LocalFleet& fleet, std::string id, std::string service, ExecutionCounts& executions,
              std::mt19937_64& random, TrialVersion version = {});
  /// Accepts connections and sends heartbeats until `stop`.
  void start();
  /// Ends at once, as a process that is killed: connections break, nothing is said to the controllers.
  void stop();
  /// Sends no more heartbeats.
  void stopHeartbeats() { sendsHeartbeats_ = false; }
  const std::string& id() const { return id_; }
  /// Streams that it was sent.
  int streams() const { return streams_; }

 private:
  void acceptNext();
  void serve(runtime::Connection& connection);
  void answer(const proxy::RequestParser::value_type& request, runtime::Connection& connection,
              runtime::SocketError& ec);
  void answerPush(const std::string& attemptId, runtime::Connection& connection, runtime::SocketError& ec);
  void answerStream(const std::string& attemptId, int lastEvent, runtime::Connection& connection,
                    runtime::SocketError& ec);
  std::string responseHead(const std::string& attemptId, const char* status, const std::string& headers) const;
  void sendHeartbeats();
  std::string heartbeat(int sequence) const;

  const LocalFleet& fleet_;
  std::string id_, service_, address_;
  ExecutionCounts& executions_;
  std::mt19937_64& random_;
  TrialVersion version_;
  int streams_ = 0;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<runtime::Connection>> connections_;
  bool running_ = true, sendsHeartbeats_ = true;
};
}  // namespace zinccleat::simulation
