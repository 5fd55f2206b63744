#pragma once

#include "../EntryProcess.h"
#include "LibNet/HttpClient.h"
#include "LoopbackProxy.h"
#include "Promises.h"
#include "platform/StandIn/StandInBackend.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace latchslip::platform {

// How large a soak is, and where it runs.
struct SoakSettings
{
  // The daemon under test.
  std::string program_;
  // Folder for the logs of the instances; empty for none.
  std::string logs_;
  // The soak listens on about a thousand ports from here on.
  int firstPort_ = 25000;
  int instances_ = 5;
  // Servers of the keyed service; the bookings have as many, others have two.
  int servers_ = 5;
  // Between two requests.
  Duration pace_ = milliseconds(6);
};

// A fleet of real processes before stand-ins of the store and the servers, which
// all speak through links that can misbehave, under a steady load of clients.
class SoakWorld
{
public:
  // An entry instance: its process, and its links to the store.
  struct Instance
  {
    std::string name_;
    int port_ = 0;
    std::unique_ptr<LoopbackProxy> storeLink_;
    std::unique_ptr<EntryProcess> process_;
    // It is to be running, so that an end of its own is a failure.
    bool isExpected_ = false;
    bool isPaused_ = false;
    std::size_t runs_ = 0;

    // Names this start of it.
    std::string Run() const { return name_ + "#" + std::to_string(runs_); }
  };

  // A backend server and the link to it.
  struct Server
  {
    std::unique_ptr<LoopbackProxy> link_;
    std::unique_ptr<StandInBackend> backend_;
    std::size_t incarnations_ = 1;
  };

  explicit SoakWorld(SoakSettings aSettings);
  ~SoakWorld();

  // Starts everything and waits until all is served. The error says what does not
  // start.
  FieldResult<void> Start();

  // Lets time pass under load, at least this long.
  void Run(Duration aTime);
  // The same until that is true; whether it became so in time.
  bool RunUntil(const std::function<bool()>& aIsDone, Duration aMost);
  // Sends nothing more and waits for what is under way.
  void Quiesce();
  // Calls this once after a time, while the world runs.
  void After(Duration aTime, std::function<void()> aWhat);

  void StartInstance(Instance& aInstance);
  // Ends the process at once.
  void KillInstance(Instance& aInstance);
  // A link or a process works again: what was held up on it arrives now.
  void NoteHealed();
  // From now on the other of two services takes the bookings.
  void SwitchBookingService();
  // Operators and servers write what the store may have lost by its return; the records of
  // former lives lapse.
  void WriteAgain();
  const std::string& BookingService() const { return bookingService_; }

  std::vector<Instance>& Instances() { return instances_; }
  std::vector<Server>& Servers() { return servers_; }
  StandInStore& Store() { return *store_; }
  Promises& Kept() { return promises_; }
  // A request that was sent and ended without a whole answer.
  struct BrokenRequest
  {
    std::string id_;
    // Who had it and how it ended.
    std::string story_;
    Duration age_{ 0 };
  };

  // All of them so far.
  const std::vector<BrokenRequest>& Broken() const { return broken_; }
  // Whether each instance serves a keyed request and a booking now.
  bool IsAllServed();
  std::size_t Asked() const { return asked_; }
  std::size_t Answered() const { return answered_; }

private:
  FieldResult<void> AddServers();
  FieldResult<void> AddServer(const std::string& aName, const std::string& aService, int aPort);
  FieldResult<void> AddInstance(int aNumber);
  // Writes the configuration under its next version.
  void PutConfiguration();
  // Writes it as it is.
  void WriteConfiguration();
  // Sends the requests of the load that are due.
  void SendDue(Instant aNow);
  // aDone is told the status of the answer; 0 when there is no whole one.
  void Ask(Instance& aInstance, bool aIsBooking, const std::function<void(unsigned)>& aDone = {});
  // Counts what came of a request and returns the status, as above.
  unsigned OnAnswered(const std::string& aRequest,
                      const std::string& aInstance,
                      Instant aSentAt,
                      const HttpExchange& aExchange);
  // An instance that ends by itself breaks a promise.
  void LookAtProcesses();

  SoakSettings settings_;
  boost::asio::io_context context_{ 1 };
  Promises promises_;
  std::unique_ptr<StandInStore> store_;
  std::vector<Instance> instances_;
  std::vector<Server> servers_;
  std::unique_ptr<HttpClient> client_;
  std::minstd_rand random_{ 1 };
  std::string bookingService_ = "bookings";
  int configuration_ = 1;
  std::size_t asked_ = 0;
  std::size_t ended_ = 0;
  std::vector<BrokenRequest> broken_;
  std::size_t answered_ = 0;
  bool isLoaded_ = false;
  Instant healedAt_{ 0 };
  Instant nextRequest_{ 0 };
};

} // namespace latchslip::platform
