/// A simulated runner of a trial: a server on a loopback address that serves push and stream requests and sends
/// heartbeats to the controllers.
#pragma once
#include <map>
#include <random>

#include "fleet.hpp"
#include "proxy/http.hpp"
namespace zinccleat::simulation {
/// Number of events in each stream of a trial.
constexpr int kEventsPerStream = 8;
/// One server-sent event of a stream. @param number from 1 to `kEventsPerStream`; also the event's id.
std::string streamEvent(int number);
/// Number of executions of each push attempt, by attempt id. More than one execution is a fault.
using ExecutionCounts = std::map<std::string, int>;

/// The software version of a runner.
struct TrialVersion {
  std::string revision = "v1";
  bool failsEverySecondStream = false;  ///< every second stream is answered with status 500
};

class TrialRunner : public std::enable_shared_from_this<TrialRunner> {
 public:
  /// Listens on a port chosen by the kernel. The referenced objects must stay valid until the event loop has stopped.
  TrialRunner(const LocalFleet& fleet, std::string id, std::string service, ExecutionCounts& executions,
              std::mt19937_64& random, TrialVersion version = {});
  /// Accepts connections and sends heartbeats until `stop`.
  void start();
  /// Stops immediately, like a killed process: closes all connections and does not detach from the controllers.
  void stop();
  /// Stops the heartbeats; requests are still served.
  void stopHeartbeats() { sendsHeartbeats_ = false; }
  const std::string& id() const { return id_; }
  /// Number of stream requests that the runner has received.
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
