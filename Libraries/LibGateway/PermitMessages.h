#pragma once

#include "LibGateway/CrashSuspects.h"
#include "LibGateway/Messages.h"
#include "LibGateway/ServerLoad.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace latchslip {

// Messages between instances and a dispatcher. A dispatcher is the one instance that sees all
// sends to the servers of a service; it grants the other instances permits, each for one send to
// one server. Attempt numbers are assigned by the requesting instance.

// Requests a permit.
struct PermitRequest
{
  AttemptNumber number_ = 0;
  std::string service_;
  // The server that must get the request; empty if any may.
  std::string server_;
  // Data hall of the requesting instance.
  std::string hall_;
  // Servers that were tried already; others are preferred.
  std::vector<std::string> tried_;
  // 0 is the most urgent.
  unsigned priority_ = 0;
  // Time for which an answer is still in time for the caller; zero or less if it can no longer
  // be.
  Duration inTime_{ 0 };
  // Time until the client gives up.
  Duration timeLeft_{ 0 };
  RequestFingerprint fingerprint_ = kNoFingerprint;

  bool operator==(const PermitRequest&) const = default;
};

// Withdraws a permit request.
struct PermitWithdrawal
{
  AttemptNumber number_ = 0;

  bool operator==(const PermitWithdrawal&) const = default;
};

// Reports a send that used no permit of this dispatcher.
struct SendNotice
{
  AttemptNumber number_ = 0;
  std::string service_;
  std::string server_;
  // Time since the send.
  Duration ago_{ 0 };
  // Time until the client gives up.
  Duration timeLeft_{ 0 };
  RequestFingerprint fingerprint_ = kNoFingerprint;

  bool operator==(const SendNotice&) const = default;
};

// Reports that an attempt has ended, or that a permit was not used.
struct SendEnd
{
  AttemptNumber number_ = 0;
  SendResult result_ = SendResult::Cancelled;
  // Time from the send to its end.
  Duration latency_{ 0 };
  std::optional<ServerStatus> status_;
  // Remaining backoff that the server requested from the reporting instance; zero if it requested
  // none.
  Duration backoff_{ 0 };
  // The server incarnation, as in ServerRecord, if that incarnation announced that it is shutting
  // down.
  std::optional<std::uint64_t> leavingIncarnation_{};
  // As in AttemptOutcome.
  std::optional<double> rateLimit_{};
  // As in AttemptOutcome.
  bool isConnectionLost_ = false;
  // Incarnation of the server, as in ServerRecord.
  std::uint64_t incarnation_ = 0;

  bool operator==(const SendEnd&) const = default;
};

// Tells a new dispatcher of a crash that the reporting instance saw earlier.
struct CrashNotice
{
  RequestFingerprint fingerprint_ = kNoFingerprint;
  std::string server_;
  std::uint64_t incarnation_ = 0;
  // Time since the request was sent.
  Duration sentAgo_{ 0 };
  // Time since the server closed the connection.
  Duration crashedAgo_{ 0 };

  bool operator==(const CrashNotice&) const = default;
};

// Report for a cancelled attempt or an unused permit.
inline SendEnd
CancelledSend(AttemptNumber aNumber)
{
  return { aNumber, SendResult::Cancelled, Duration(0), std::nullopt };
}

// Health probe: requests a DispatcherSign.
struct DispatcherProbe
{
  bool operator==(const DispatcherProbe&) const = default;
};

// Reports that most first answers of this dispatcher reach the sender too late.
struct DispatcherComplaint
{
  bool operator==(const DispatcherComplaint&) const = default;
};

// Allows one send of the request to that server, now.
struct Permit
{
  AttemptNumber number_ = 0;
  std::string server_;

  bool operator==(const Permit&) const = default;
};

// A permit is expected in time; a Permit or a PermitDenial follows.
struct PermitDelay
{
  AttemptNumber number_ = 0;

  bool operator==(const PermitDelay&) const = default;
};

// No permit will be available within a useful time.
struct PermitDenial
{
  AttemptNumber number_ = 0;
  // Time until the dispatcher expects to have capacity.
  Duration wait_{ 0 };
  // Capacity is reserved for a return of the request after wait_.
  bool isPromised_ = false;

  bool operator==(const PermitDenial&) const = default;
};

// Answer to a DispatcherProbe.
struct DispatcherSign
{
  bool operator==(const DispatcherSign&) const = default;
};

// The dispatcher must not be chosen for some time, because its answers are late.
struct DispatcherResignation
{
  Duration time_{ 0 };

  bool operator==(const DispatcherResignation&) const = default;
};

using MessageToDispatcher = std::variant<PermitRequest,
                                         PermitWithdrawal,
                                         SendNotice,
                                         SendEnd,
                                         DispatcherProbe,
                                         CrashNotice,
                                         Quarantine,
                                         DispatcherComplaint>;
using MessageFromDispatcher = std::
  variant<Permit, PermitDelay, PermitDenial, DispatcherSign, Quarantine, DispatcherResignation>;

} // namespace latchslip
