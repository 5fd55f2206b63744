#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibGateway/RateLimit.h"
#include "LibGateway/RequestFingerprint.h"
#include "LibGateway/ServerLoad.h"
#include "LibGateway/ServerPaths.h"
#include "LibKeys/KeyOwnership.h"

#include <cstdint>
#include <optional>
#include <string>

namespace latchslip {

// Identifies a client's request within one run of an instance.
using RequestNumber = std::uint64_t;

// The properties of a request on which routing decisions depend.
struct RoutedRequest
{
  RequestNumber number_ = 0;
  // The request id that the client supplied, for the log.
  std::string id_;
  std::string host_;
  std::string path_;
  // Set if the client supplied a key.
  std::optional<KeyNumber> key_;
  // The API key that the client presented; empty if it presented none.
  std::string apiKey_;
  // Time until the client gives up, counted from arrival, if the client announced it.
  std::optional<Duration> timeLeft_;
  RequestFingerprint fingerprint_ = kNoFingerprint;
};

// Command to send a request to one server, once.
struct AttemptCommand
{
  AttemptNumber number_ = 0;
  RequestNumber request_ = 0;
  // Id of the intended server incarnation; another incarnation must not run the request.
  std::string server_;
  std::string address_;
  // Time limit for the server, without the time that the answer takes to travel back.
  Duration timeLeft_{ 0 };
  // The caller's group; empty if the caller presented no known API key.
  std::string group_{};
  // Whether callers present API keys, which must not be forwarded to servers.
  bool hidesApiKey_ = false;
  // Peer address of the instance that relays the request; empty if it is to be sent directly.
  std::string relay_{};
};

// How an attempt (one send of a request to a server) ended.
enum class AttemptEnd
{
  // A complete answer arrived; the request may have run.
  Answered,
  // The server reported that it did not run the request.
  NotRun,
  // As NotRun, because another server uses the address or because the server does not own the
  // key.
  WrongServer,
  // No byte was sent.
  NotSent,
  // The request was sent and no complete answer arrived; it may have run.
  Broken,
};

inline constexpr NameTable<AttemptEnd, 5> kAttemptEndNames{
  { "answered", "not-run", "wrong-server", "not-sent", "broken" }
};

// Load that a server reported with an answer.
struct ServerStatus
{
  unsigned running_ = 0;
  unsigned waiting_ = 0;
  unsigned slots_ = 0;
  // Current service time of the server as a multiple of its usual one.
  double slowdown_ = 1;

  bool operator==(const ServerStatus&) const = default;
};

// Result of an attempt, with everything that the server reported in its answer.
struct AttemptOutcome
{
  AttemptEnd end_ = AttemptEnd::Broken;
  unsigned status_ = 0;
  // Set with WrongServer if another incarnation answered: the intended one has ended.
  bool isOtherIncarnation_ = false;
  // No value if the server reported no load or an invalid one.
  std::optional<ServerStatus> server_;
  // The intended server incarnation announced that it is shutting down.
  bool isLeaving_ = false;
  // Backoff that the server requested when it refused the request: this instance must send it
  // nothing for that long.
  std::optional<Duration> backoff_{};
  // Rate limit in requests per second that the server advertises for all instances together;
  // kNoRateLimit if it advertises that it has none. No value if that incarnation of the server
  // reported nothing about it.
  std::optional<double> rateLimit_{};
  // Set with Broken if the server closed the connection before it sent any part of an answer, as
  // when its process ends.
  bool isConnectionLost_ = false;
  // What is known of the path beyond what end_ tells; Unknown for nothing.
  PathResult path_ = PathResult::Unknown;
  // Number of the connection that carried the attempt, for the log; 0 if another instance relayed
  // it.
  std::uint64_t connection_ = 0;

  // Whether the server answered that the request failed.
  bool IsServerError() const
  {
    // The lowest HTTP status of server errors.
    constexpr unsigned kServerError = 500;
    return status_ >= kServerError;
  }
};

// Why the gateway refuses a request instead of delivering a server's answer.
enum class RefusalReason
{
  NoConfiguration,
  // The client presented no known API key, on a route that is not public.
  UnknownApiKey,
  // The instance could not verify recently enough that no API key was revoked.
  ApiKeysUnproven,
  // The group has used up its rate limit.
  OverLimit,
  NoRoute,
  NoServer,
  NoOwner,
  NoCapacity,
  // No server can be reached, directly or through another instance.
  NoPath,
  OutOfTime,
  OutcomeUnknown,
  // The request crashed the servers that ran it.
  Quarantined,
  // This instance ends before the request may have been answered.
  Stopping,
};

inline constexpr NameTable<RefusalReason, 13> kRefusalReasonNames{ { "no-configuration",
                                                                     "unknown-api-key",
                                                                     "api-keys-unproven",
                                                                     "over-limit",
                                                                     "no-route",
                                                                     "no-server",
                                                                     "no-owner",
                                                                     "no-capacity",
                                                                     "no-path",
                                                                     "out-of-time",
                                                                     "outcome-unknown",
                                                                     "quarantined",
                                                                     "stopping" } };

// The answer that a client gets when its request is refused.
struct Refusal
{
  RefusalReason reason_ = RefusalReason::NoCapacity;
  // Whether the request has certainly not run and never will, so that the client may repeat it.
  bool isNotRun_ = true;
  // Delay after which the client should retry; only meaningful for requests that have not run.
  Duration retryAfter_{ 0 };
};

// Performs the I/O that routing decides on. Implemented by the daemon, and by recorders in tests.
class RequestActions
{
public:
  virtual ~RequestActions() = default;

  virtual void Send(const AttemptCommand& aCommand) = 0;
  // Closes the connection of an attempt, so that the server stops processing it.
  virtual void Cancel(AttemptNumber aAttempt) = 0;
  // Sends the answer of an attempt to the client. Called from within OnAttemptEnded.
  virtual void Deliver(RequestNumber aRequest, AttemptNumber aAttempt) = 0;
  virtual void Refuse(RequestNumber aRequest, const Refusal& aRefusal) = 0;
  // Whether an idle connection to the address exists. Opening a connection for a single request
  // is expensive.
  virtual bool HasConnection(const std::string& aAddress) const = 0;
  // An answer of that server incarnation announced that it is shutting down.
  virtual void RecordLeaving(const std::string& aServer, std::uint64_t aIncarnation) = 0;
  // Counts a request for a key whether or not its owner can serve it: keys whose owner is full or
  // unknown are the ones that must be spread over more servers.
  virtual void CountKey(const std::string& aService, KeyNumber aKey) = 0;
};

} // namespace latchslip
