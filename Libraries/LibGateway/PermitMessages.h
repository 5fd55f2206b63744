#pragma once

#include "LibGateway/Messages.h"
#include "LibGateway/ServerLoad.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace latchslip {

// What the instances and a dispatcher say to each other. A dispatcher is the one instance
// that sees all sends to the servers of a service; it gives the others permits, each for one
// send to one server. Attempts are named by the instance that asks.

// Asks for a permit.
struct PermitRequest
{
  AttemptNumber number_ = 0;
  std::string service_;
  // The server that must get the request; empty when any may.
  std::string server_;
  // The data hall of the instance that asks.
  std::string hall_;
  // Servers that have had the request; others are better.
  std::vector<std::string> tried_;
  // 0 is the most urgent.
  unsigned priority_ = 0;
  // How long an answer is in time from now on; zero or less when it cannot be any more.
  Duration inTime_{ 0 };
  // How long the client waits at all.
  Duration timeLeft_{ 0 };

  bool operator==(const PermitRequest&) const = default;
};

// The permit is not wanted any more.
struct PermitWithdrawal
{
  AttemptNumber number_ = 0;

  bool operator==(const PermitWithdrawal&) const = default;
};

// A request was sent without a permit of this dispatcher.
struct SendNotice
{
  AttemptNumber number_ = 0;
  std::string service_;
  std::string server_;
  // How long ago.
  Duration ago_{ 0 };
  // How much longer its client waits.
  Duration timeLeft_{ 0 };

  bool operator==(const SendNotice&) const = default;
};

// A send has ended, or a permit was not used.
struct SendEnd
{
  AttemptNumber number_ = 0;
  SendResult result_ = SendResult::Cancelled;
  // From the send to its end.
  Duration latency_{ 0 };
  std::optional<ServerStatus> status_;
  // For how long the server wants nothing from the instance that tells; zero when it did not
  // ask for that.
  Duration rest_{ 0 };
  // The life of the server, as in ServerRecord, when that life said that it is about to end.
  std::optional<std::uint64_t> leavingIncarnation_{};
  // As in AttemptOutcome.
  std::optional<double> rateLimit_{};

  bool operator==(const SendEnd&) const = default;
};

// The end of a send that was given up, or of a permit that is not used.
inline SendEnd
CancelledSend(AttemptNumber aNumber)
{
  return { aNumber, SendResult::Cancelled, Duration(0), std::nullopt };
}

// Asks for a sign of life.
struct DispatcherProbe
{
  bool operator==(const DispatcherProbe&) const = default;
};

// The request may be sent to that server now.
struct Permit
{
  AttemptNumber number_ = 0;
  std::string server_;

  bool operator==(const Permit&) const = default;
};

// The permit is expected in time; a Permit or a PermitDenial follows.
struct PermitDelay
{
  AttemptNumber number_ = 0;

  bool operator==(const PermitDelay&) const = default;
};

// There will be no permit while that is worth waiting for.
struct PermitDenial
{
  AttemptNumber number_ = 0;
  // After how long there is expected to be room.
  Duration wait_{ 0 };

  bool operator==(const PermitDenial&) const = default;
};

struct DispatcherSign
{
  bool operator==(const DispatcherSign&) const = default;
};

using MessageToDispatcher =
  std::variant<PermitRequest, PermitWithdrawal, SendNotice, SendEnd, DispatcherProbe>;
using MessageFromDispatcher = std::variant<Permit, PermitDelay, PermitDenial, DispatcherSign>;

} // namespace latchslip
