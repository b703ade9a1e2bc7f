/// The simulated clients of a trial. Each client alternately sends push and stream requests through the proxy and
/// retries each request until it receives the expected response or a total time limit of 5 s has passed.
#pragma once
#include "fleet.hpp"
namespace zinccleat::simulation {
/// Results of all clients. `pushes` to `lost` count requests; `refusals` to `wrong` count single attempts.
struct ClientStatistics {
  int pushes = 0, streams = 0;  ///< requests that received the expected response
  int late = 0;                 ///< requests among `pushes` and `streams` that took more than 1 s
  int lost = 0;                 ///< requests without the expected response within the time limit
  int refusals = 0;             ///< attempts answered with status 429 or 503
  int failures = 0;             ///< attempts without a complete response or with any other status but 200
  int wrong = 0;                ///< attempts answered with status 200 and an unexpected body
};

class TrialClients {
 public:
  /// `fleet` must stay valid until the event loop has stopped.
  explicit TrialClients(const LocalFleet& fleet) : fleet_(fleet) {}
  /// Starts `clients` clients, each on a fiber of its own.
  void start(int clients);
  /// Makes each client end after its current request.
  void stop() { stopped_ = true; }
  /// Number of clients that have not ended yet.
  int running() const { return running_; }
  const ClientStatistics& statistics() const { return statistics_; }

 private:
  enum class RequestKind { push, stream };
  enum class AttemptEnd { served, refused, failed, wrong };
  struct AttemptResult {
    AttemptEnd end = AttemptEnd::failed;
    Duration retryAfter{};  // set only for `refused`
  };
  struct Response;
  void run(int client);
  void makeRequest(RequestKind kind, const std::string& requestId);
  AttemptResult attempt(RequestKind kind, const std::string& attemptId) const;
  std::optional<Response> send(const std::string& request) const;
  static AttemptResult evaluate(const Response& response, const std::string& expectedBody);
  void count(AttemptEnd end);

  const LocalFleet& fleet_;
  ClientStatistics statistics_;
  int running_ = 0;
  bool stopped_ = false;
};
}  // namespace zinccleat::simulation
