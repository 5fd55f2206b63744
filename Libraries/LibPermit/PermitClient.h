#pragma once

#include "LibBase/Event.h"
#include "LibGateway/PermitSource.h"
#include "LibPermit/DispatcherAssignment.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Interface through which a PermitClient sends its messages and opens and closes its links.
class PermitClientActions
{
public:
  virtual ~PermitClientActions() = default;

  // Sends a message over the open link to that dispatcher.
  virtual void Send(const std::string& aDispatcher, const MessageToDispatcher& aMessage) = 0;
  // Opens a link; completes in OnLinkUp or OnLinkDown.
  virtual void Connect(const std::string& aDispatcher) = 0;
  // Closes the link without a callback.
  virtual void Disconnect(const std::string& aDispatcher) = 0;
};

// Receives the outcome of permit requests.
class PermitListener
{
public:
  virtual ~PermitListener() = default;

  // The request may be sent to aServer now.
  virtual void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) = 0;
  // The request is queued at the dispatcher; a permit or a denial follows.
  virtual void OnPermitDelayed(Instant aNow, AttemptNumber aNumber) = 0;
  // No permit will be issued in time; aWait is the expected time until a server has capacity.
  // aIsPromised tells whether the dispatcher reserves capacity for a return after aWait.
  virtual void OnPermitDenied(Instant aNow,
                              AttemptNumber aNumber,
                              Duration aWait,
                              bool aIsPromised) = 0;
  // The dispatcher was lost. The permit must be requested again, or the request sent without one.
  virtual void OnPermitRequestLost(Instant aNow, AttemptNumber aNumber) = 0;
  // The request must not be sent to any server for some time.
  virtual void OnQuarantine(Instant aNow, RequestFingerprint aFingerprint) = 0;
};

// Requests permits from the dispatchers of services on behalf of one instance. It follows which
// instance is the dispatcher of each service, reports outstanding sends to a new dispatcher, and
// fails over when a dispatcher does not answer. While a service has no reachable dispatcher, the
// instance chooses servers from its local knowledge. Performs no I/O.
class PermitClient : public PermitSource
{
public:
  PermitClient(PermitClientActions& aActions, EventSink& aEvents);

  void SetListener(PermitListener& aListener) { listener_ = &aListener; }
  // Sets the instances of the fleet by address.
  void SetPeers(Instant aNow, const std::map<std::string, FleetPeer>& aPeers);
  // Sets the services that have a dispatcher.
  void SetServices(Instant aNow, std::vector<std::string> aServices);

  void OnLinkUp(Instant aNow, const std::string& aDispatcher);
  void OnLinkDown(Instant aNow, const std::string& aDispatcher);
  void OnMessage(Instant aNow,
                 const std::string& aDispatcher,
                 const MessageFromDispatcher& aMessage);
  // Probes dispatchers that do not answer and fails over. To be called periodically.
  void OnTime(Instant aNow);

  bool CanRequestPermit(const std::string& aService) const override;
  Duration RemainingQuarantine(Instant aNow, RequestFingerprint aFingerprint) const override
  {
    return suspects_.RemainingQuarantine(aNow, aFingerprint);
  }
  void RequestPermit(Instant aNow, const PermitRequest& aRequest) override;
  void Withdraw(AttemptNumber aNumber) override;
  void OnPermitTimeout(Instant aNow, const std::string& aService) override;
  void ReportSend(Instant aNow, const SendNotice& aNotice) override;
  void ReportSendEnd(const SendEnd& aEnd) override;

private:
  enum class LinkState
  {
    Down,
    Connecting,
    Up,
  };

  // State of the link to one dispatcher.
  struct Link
  {
    LinkState state_ = LinkState::Down;
    // Start of the period without an answer; Instant::max() when the dispatcher answers.
    Instant unansweredSince_ = Instant::max();
    // The dispatcher is not selected before this time.
    Instant failedUntil_ = Instant::min();
    Instant nextProbe_ = Instant::min();
  };

  // An outstanding send, as it is reported to a new dispatcher.
  struct RunningSend
  {
    std::string service_;
    std::string server_;
    Instant sentAt_{ 0 };
    Instant deadline_{ 0 };
    RequestFingerprint fingerprint_ = kNoFingerprint;
  };

  struct OpenRequest
  {
    std::string service_;
    Instant deadline_{ 0 };
    RequestFingerprint fingerprint_ = kNoFingerprint;
  };

  // Recomputes the candidates of each service and selects dispatchers.
  void UpdateCandidates(Instant aNow);
  void SelectDispatchers(Instant aNow);
  // The first candidate for the service that has not failed recently; empty when there is none.
  std::string FirstCandidate(Instant aNow, const std::string& aService) const;
  bool IsUp(const std::string& aDispatcher) const;
  // Marks the link as down and excludes the dispatcher for a while.
  static void MarkFailed(Instant aNow, Link& aLink);
  void ReportRunning(Instant aNow, const std::string& aService);
  // Tells a dispatcher of the crashes and quarantines that this instance knows.
  void ReportSuspects(Instant aNow, const std::string& aDispatcher);
  // Learns of crashes from the end of a send of this instance.
  void TrackCrashes(const RunningSend& aSend, const SendEnd& aEnd);
  void ApplyQuarantines(Instant aNow, const CrashSuspects::Changes& aChanges);
  void DropRequests(Instant aNow, const std::string& aService);
  void SendToDispatcher(const std::string& aService, const MessageToDispatcher& aMessage);

  PermitClientActions& actions_;
  EventSink& events_;
  PermitListener* listener_ = nullptr;
  std::map<std::string, FleetPeer> peers_;
  std::vector<std::string> services_;
  DispatcherAssignment assignment_;
  // The selected dispatcher by service.
  std::map<std::string, std::string, std::less<>> dispatchers_;
  std::map<std::string, Link> links_;
  std::map<AttemptNumber, OpenRequest> requests_;
  std::map<AttemptNumber, RunningSend> running_;
  // The crashes that this instance saw, and the quarantines that it was told of.
  CrashSuspects suspects_;
};

} // namespace latchslip
