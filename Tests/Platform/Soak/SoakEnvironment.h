#pragma once

#include "../EntryProcess.h"
#include "GuaranteeChecker.h"
#include "LibNet/HttpClient.h"
#include "LoopbackProxy.h"
#include "platform/StandIn/StandInBackend.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace latchslip::platform {

// Size of the soak, and its place on this machine.
struct SoakSettings
{
  // Path of the program under test (latchslip-entry).
  std::string program_;
  // Folder for the instances' logs; empty for none.
  std::string logs_;
  // First of about a thousand ports that the soak uses.
  int firstPort_ = 25000;
  int instances_ = 5;
  // Number of servers of the keyed service, and of the booking service. The third service has two.
  int servers_ = 5;
  // Interval between requests.
  Duration requestInterval_ = milliseconds(6);
  // Time for which a server works on a request.
  Duration serviceTime_ = milliseconds(20);
  // Bookings are routed to the keyed service first, whose repeats go to the same server.
  bool routesBookingsToKeys_ = false;
};

// The environment of the soak test: a fleet of real processes with test doubles of the store and of
// the backend servers, connected through proxies that can inject faults, under a steady load of
// client requests.
class SoakEnvironment
{
public:
  // A gateway instance: its process, and the proxy to the store.
  struct Instance
  {
    std::string name_;
    int port_ = 0;
    std::unique_ptr<LoopbackProxy> storeLink_;
    std::unique_ptr<EntryProcess> process_;
    // Whether the process should be running, so that its exit is a violation.
    bool shouldRun_ = false;
    bool isPaused_ = false;
    std::size_t runs_ = 0;

    // Identifies this run of the instance.
    std::string RunId() const { return name_ + "#" + std::to_string(runs_); }
  };

  // A backend server and the proxy in front of it.
  struct Server
  {
    std::unique_ptr<LoopbackProxy> link_;
    std::unique_ptr<StandInBackend> backend_;
    std::size_t incarnations_ = 1;
  };

  explicit SoakEnvironment(SoakSettings aSettings);
  ~SoakEnvironment();

  // Starts everything and waits until all requests are served. The error names what did not start.
  FieldResult<void> Start();

  // Runs the load for at least aTime.
  void Run(Duration aTime);
  // Runs the load until aIsDone returns true; returns false if it does not within aTimeout.
  bool RunUntil(const std::function<bool()>& aIsDone, Duration aTimeout);
  // Stops the load and waits for the requests in flight.
  void Quiesce();
  // Calls aWhat once after aTime, while Run() or RunUntil() runs.
  void After(Duration aTime, std::function<void()> aWhat);

  void StartInstance(Instance& aInstance);
  // Kills the process (SIGKILL) and waits for its exit.
  void KillInstance(Instance& aInstance);
  // Reports instances whose memory has grown beyond its bound.
  void CheckMemory();
  // Called when a link or a process recovers, because delayed commands arrive then.
  void OnRecovered();
  // Routes bookings to the next of the services that take them from now on.
  void SwitchBookingService();
  // Operators and servers repeat the writes that a restored store may have lost; records of former
  // incarnations are removed.
  void RepeatWrites();
  const std::string& BookingService() const { return bookingService_; }

  // Sends a client's request and returns its id. aDone receives the status of the answer, or 0 if
  // there was no complete one.
  std::string SendRequest(Instance& aInstance,
                          bool aIsBooking,
                          const std::string& aPath,
                          int aKey,
                          const std::function<void(unsigned)>& aDone = {});

  std::vector<Instance>& Instances() { return instances_; }
  std::vector<Server>& Servers() { return servers_; }
  StandInStore& Store() { return *store_; }
  GuaranteeChecker& Guarantees() { return guarantees_; }
  // A request that was sent and ended without a complete answer.
  struct BrokenRequest
  {
    std::string id_;
    // The instance, and how the request ended.
    std::string description_;
    Duration age_{ 0 };
  };

  // All such requests so far.
  const std::vector<BrokenRequest>& BrokenRequests() const { return brokenRequests_; }
  // Whether each instance serves keyed requests and bookings now.
  bool IsAllServed();
  std::size_t SentCount() const { return sentCount_; }
  std::size_t AnsweredCount() const { return answeredCount_; }

private:
  FieldResult<void> AddServers();
  FieldResult<void> AddServer(const std::string& aName, const std::string& aService, int aPort);
  FieldResult<void> AddInstance(int aNumber);
  // Writes the configuration with the next version.
  void PutConfiguration();
  // Writes the configuration with its current version.
  void WriteConfiguration();
  // Sends the load's requests that are due.
  void SendDue(Instant aNow);
  // Sends a request of the load for a random key.
  void SendRequest(Instance& aInstance,
                   bool aIsBooking,
                   const std::function<void(unsigned)>& aDone = {});
  // Evaluates the end of a request and returns the status, or 0, as for aDone.
  unsigned OnAnswered(const std::string& aRequest,
                      const std::string& aInstance,
                      Instant aSentAt,
                      const HttpExchange& aExchange);
  // Reports instances whose process exited by itself.
  void CheckProcesses();

  SoakSettings settings_;
  boost::asio::io_context context_{ 1 };
  GuaranteeChecker guarantees_;
  std::unique_ptr<StandInStore> store_;
  std::vector<Instance> instances_;
  std::vector<Server> servers_;
  std::unique_ptr<HttpClient> client_;
  std::minstd_rand random_{ 1 };
  std::string bookingService_;
  int configurationVersion_ = 1;
  std::size_t sentCount_ = 0;
  std::size_t endedCount_ = 0;
  std::vector<BrokenRequest> brokenRequests_;
  std::size_t answeredCount_ = 0;
  bool isLoadOn_ = false;
  Instant recoveredAt_{ 0 };
  Instant nextRequest_{ 0 };
};

} // namespace latchslip::platform
