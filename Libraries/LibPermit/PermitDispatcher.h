#pragma once

#include "LibGateway/QueuePosition.h"
#include "LibGateway/RoutingTable.h"
#include "LibPermit/DispatchedServer.h"
#include "LibPermit/LatePatience.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace latchslip {

// Carries the answers of a dispatcher.
class DispatcherActions
{
public:
  virtual ~DispatcherActions() = default;

  virtual void Answer(CallerId aCaller, const MessageFromDispatcher& aMessage) = 0;
  // An instance heard from that life of a server that it is about to end.
  virtual void RecordLeaving(const std::string& aServer, std::uint64_t aLife) = 0;
};

// Gives permits for sends to the servers of services. It sees all sends to them, so that it
// knows what is under way at each, and holds one queue for those that are full: whoever is
// most urgent goes first, to the server that will be done first. What will not be served
// while that is in time is told so at once. It does no I/O.
class PermitDispatcher
{
public:
  PermitDispatcher(const ServerDirectory& aDirectory, DispatcherActions& aActions);

  void SetRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes);
  // To be called after each change of the directory.
  void OnDirectoryChanged(Instant aNow);

  void OnMessage(Instant aNow, CallerId aCaller, const MessageToDispatcher& aMessage);
  // What the caller had under way is not known any more.
  void OnCallerGone(Instant aNow, CallerId aCaller);
  // Does what is due.
  void OnTime(Instant aNow);
  // When OnTime has something to do next.
  std::optional<Instant> NextTime() const;

  std::size_t Waiting() const { return waiting_.size(); }
  std::size_t InFlight() const { return permits_.size(); }

private:
  using PermitKey = std::pair<CallerId, AttemptNumber>;

  // A permit that is used, or a send without one.
  struct RunningSend
  {
    std::string service_;
    std::string server_;
    Instant sentAt_{ 0 };
    // Requests that were at the server when it was sent.
    std::size_t found_ = 0;
    // When it has certainly ended, though nobody told.
    Instant overAt_{ 0 };
  };

  using Place = QueuePosition<PermitKey>;

  // An ask that waits.
  struct WaitingAsk
  {
    PermitAsk ask_;
    Place place_;
    // When it is denied.
    Instant denyAt_{ 0 };
  };

  using WaitingAsks = std::map<PermitKey, WaitingAsk>;

  struct Service
  {
    // The work time to count with for servers of which none is known.
    Duration UsualWork() const;

    std::map<std::string, DispatchedServer> servers_;
    // Those that wait, by the server that they need; empty for any.
    std::map<std::string, std::set<Place>> lanes_;
    LatePatience patience_;
    // The mean work time of its servers; zero when none is known.
    Duration work_{ 0 };
    double slowStartRate_ = 0;
  };

  void OnAsk(Instant aNow, CallerId aCaller, const PermitAsk& aAsk);
  void OnWithdrawal(PermitKey aKey);
  void OnNotice(Instant aNow, CallerId aCaller, const SendNotice& aNotice);
  void OnEnd(Instant aNow, CallerId aCaller, const SendEnd& aEnd);
  // Grants the ask if a server can take it now.
  bool TryGrant(Instant aNow,
                Service& aService,
                PermitKey aKey,
                const PermitAsk& aAsk,
                bool aIsLate);
  // The id of the server where the request costs least, among those with room; null when
  // there is none.
  static const std::string* ChooseServer(Instant aNow,
                                         const Service& aService,
                                         CallerId aCaller,
                                         const PermitAsk& aAsk,
                                         bool aIsLate);
  // What it costs to send the request to that server, as a part of its worth.
  static double CostOf(Instant aNow,
                       const std::string& aId,
                       const DispatchedServer& aServer,
                       CallerId aCaller,
                       const PermitAsk& aAsk,
                       Duration aUsual);
  // Counts the send at its server.
  void Note(Service& aService, PermitKey aKey, RunningSend aSend);
  void WaitOrDeny(Instant aNow, Service& aService, PermitKey aKey, const PermitAsk& aAsk);
  void Deny(Instant aNow, WaitingAsks::iterator aWaiting);
  static Duration ExpectedWait(Instant aNow,
                               const Service& aService,
                               const PermitAsk& aAsk,
                               const Place& aPlace);
  // How long the work of the request takes, from a free slot on.
  static Duration ExpectedWork(Instant aNow, const Service& aService, const PermitAsk& aAsk);
  // Grants what waits in that lane and can be granted now.
  void Pump(Instant aNow, Service& aService, const std::string& aLane);
  // Whether a server that may have the request wants nothing from that instance at the moment.
  static bool IsRestInTheWay(Instant aNow,
                             const Service& aService,
                             CallerId aCaller,
                             const PermitAsk& aAsk);
  void PumpAll(Instant aNow);
  // Takes an ask out of its lane.
  void Leave(WaitingAsks::iterator aWaiting);
  void DropOver(Instant aNow);

  const ServerDirectory& directory_;
  DispatcherActions& actions_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<std::string, Service, std::less<>> services_;
  std::map<PermitKey, RunningSend> permits_;
  WaitingAsks waiting_;
  // Whether anybody asks this instance: the others need not follow the servers for that.
  bool isAsked_ = false;
  Instant nextLook_ = Instant::min();
  Instant nextDrop_ = Instant::min();
};

} // namespace latchslip
