/// The clients of a trial: each sends pushes and streams in turn through the proxy and retries until it has the right
/// answer or its patience ends.
#pragma once
#include "fleet.hpp"
namespace zinccleat::simulation {
/// What the clients saw. Requests are counted once, attempts each time.
struct ClientStatistics {
  int pushes = 0, streams = 0;  ///< requests with the right answer
  int late = 0;                 ///< of these, those that took over a second
  int lost = 0;                 ///< requests without a right answer within the client's patience
  int refusals = 0;             ///< attempts answered with a time to come back
  int failures = 0;             ///< attempts without an answer, or with another status
  int wrong = 0;                ///< attempts answered with 200 and another body
};

class TrialClients {
 public:
  /// `fleet` must outlive the event loop's last turn.
  explicit TrialClients(const LocalFleet& fleet) : fleet_(fleet) {}
  /// Starts a fiber for each of so many clients.
  void start(int clients);
  /// Each client ends after its request under way.
  void stop() { stopped_ = true; }
  /// Clients that have not ended yet.
  int running() const { return running_; }
  const ClientStatistics& statistics() const { return statistics_; }

 private:
  enum class RequestKind { push, stream };
  enum class AttemptEnd { served, refused, failed, wrong };
  struct AttemptResult {
    AttemptEnd end = AttemptEnd::failed;
    Duration retryAfter{};  // refused only
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
