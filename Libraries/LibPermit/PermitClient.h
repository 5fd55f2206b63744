#pragma once

#include "LibBase/Event.h"
#include "LibGateway/PermitSource.h"
#include "LibPermit/DispatcherRing.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Carries what a permit client says, and opens its links.
class PermitClientActions
{
public:
  virtual ~PermitClientActions() = default;

  // Over the link to that dispatcher, which is up.
  virtual void Tell(const std::string& aDispatcher, const MessageToDispatcher& aMessage) = 0;
  // Ends in OnLinkUp or OnLinkDown.
  virtual void Dial(const std::string& aDispatcher) = 0;
  // Ends in nothing.
  virtual void HangUp(const std::string& aDispatcher) = 0;
};

// Hears what became of asks.
class PermitListener
{
public:
  virtual ~PermitListener() = default;

  virtual void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) = 0;
  virtual void OnPermitDelayed(Instant aNow, AttemptNumber aNumber) = 0;
  virtual void OnPermitDenied(Instant aNow, AttemptNumber aNumber, Duration aWait) = 0;
  // The dispatcher is gone; the ask must be made anew, or done without.
  virtual void OnAskLost(Instant aNow, AttemptNumber aNumber) = 0;
};

// Asks the dispatchers of services for permits. It follows which instance is the dispatcher
// of each, tells a new one what is under way, and notices when one falls silent: the
// instance then chooses alone. It does no I/O.
class PermitClient : public PermitSource
{
public:
  PermitClient(PermitClientActions& aActions, EventSink& aEvents);

  void SetListener(PermitListener& aListener) { listener_ = &aListener; }
  void SetPeers(Instant aNow, const std::map<std::string, FleetPeer>& aPeers);
  void SetServices(Instant aNow, std::vector<std::string> aServices);

  void OnLinkUp(Instant aNow, const std::string& aDispatcher);
  void OnLinkDown(Instant aNow, const std::string& aDispatcher);
  void OnMessage(Instant aNow,
                 const std::string& aDispatcher,
                 const MessageFromDispatcher& aMessage);
  void OnTime(Instant aNow);

  bool CanAsk(const std::string& aService) const override;
  void RequestPermit(Instant aNow, const PermitAsk& aAsk) override;
  void Withdraw(AttemptNumber aNumber) override;
  void OnPermitTimeout(Instant aNow, const std::string& aService) override;
  void TellSend(Instant aNow, const SendNotice& aNotice) override;
  void TellEnd(const SendEnd& aEnd) override;

private:
  enum class LinkState
  {
    Down,
    Dialled,
    Up,
  };

  // What is known of one dispatcher.
  struct Link
  {
    LinkState state_ = LinkState::Down;
    // Since when it does not answer; Instant::max() when it does.
    Instant silentSince_ = Instant::max();
    // It is passed over until then.
    Instant failedUntil_ = Instant::min();
    Instant nextProbe_ = Instant::min();
  };

  // A send under way, as a new dispatcher is told of it.
  struct RunningSend
  {
    std::string service_;
    std::string server_;
    Instant sentAt_{ 0 };
    Instant deadline_{ 0 };
  };

  struct OpenAsk
  {
    std::string service_;
    Instant deadline_{ 0 };
  };

  // Finds the dispatcher of each service anew.
  void Assign(Instant aNow);
  void Choose(Instant aNow);
  // Empty when there is none.
  std::string FirstOf(Instant aNow, const std::string& aService) const;
  bool IsUp(const std::string& aDispatcher) const;
  // Passes a dispatcher over for a while.
  static void Fail(Instant aNow, Link& aLink);
  void TellRunning(Instant aNow, const std::string& aService);
  void LoseAsks(Instant aNow, const std::string& aService);
  void TellDispatcherOf(const std::string& aService, const MessageToDispatcher& aMessage);

  PermitClientActions& actions_;
  EventSink& events_;
  PermitListener* listener_ = nullptr;
  std::map<std::string, FleetPeer> peers_;
  std::vector<std::string> services_;
  DispatcherRing ring_;
  // By service.
  std::map<std::string, std::string, std::less<>> dispatchers_;
  std::map<std::string, Link> links_;
  std::map<AttemptNumber, OpenAsk> asks_;
  std::map<AttemptNumber, RunningSend> running_;
};

} // namespace latchslip
