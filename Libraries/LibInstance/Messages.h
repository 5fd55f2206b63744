#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibDispatch/GrantManager.h"
#include "LibDispatch/ServerQueue.h"
#include "LibMembership/Membership.h"
#include "LibPlacement/ServerReport.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace latchslip {

// Messages that an instance exchanges with callers, peers, backend servers and operators.

// Shared and immutable, since bodies are large and pass through unchanged.
using Body = std::shared_ptr<const std::string>;

// Tells a caller whether its request has run.
enum class RequestOutcome
{
  // The server has answered, and the answer is complete.
  Answered,
  // The request did not run and will not run; retrying it is safe.
  NotRun,
  // The request may have run or may still run.
  Unknown,
};
inline constexpr NameTable<RequestOutcome, 3> kRequestOutcomeNames{
  { "answered", "not-run", "unknown" }
};

enum class Reason
{
  None,
  NoSuchService,
  NoSuchGroup,
  ViewStale,
  NoOwner,
  OwnerChanging,
  NotHolder,
  HolderUnreachable,
  QueueFull,
  DeadlineTooNear,
  DeadlinePassed,
  ServerShed,
  ServerRefused,
  ServerUnreachable,
  StoreUnavailable,
  Duplicate,
  ConnectionBroken,
  TooManyInFlight,
  Cancelled,
};
inline constexpr NameTable<Reason, 19> kReasonNames{ { "none",
                                                       "no-such-service",
                                                       "no-such-group",
                                                       "view-stale",
                                                       "no-owner",
                                                       "owner-changing",
                                                       "not-holder",
                                                       "holder-unreachable",
                                                       "queue-full",
                                                       "deadline-too-near",
                                                       "deadline-passed",
                                                       "server-shed",
                                                       "server-refused",
                                                       "server-unreachable",
                                                       "store-unavailable",
                                                       "duplicate",
                                                       "connection-broken",
                                                       "too-many-in-flight",
                                                       "cancelled" } };

struct WorkRequest
{
  std::string service_;
  std::string group_;
  std::string key_;
  // Idempotency key chosen by the caller; empty if the caller handles duplicates itself.
  std::string requestId_;
  bool isRepeatable_ = false;
  // On the monotonic clock of the process that handles the request.
  Instant deadline_{ 0 };
  Body body_;
  // Unique token of one delivery of a request that needs a claim, the same for all of its
  // attempts. Set by the instance that accepted the request from the caller.
  std::string sendingToken_;

  // Whether the request id must be claimed durably before the request runs.
  bool NeedsClaim() const { return !isRepeatable_ && !requestId_.empty(); }
};

struct WorkAnswer
{
  RequestOutcome outcome_ = RequestOutcome::NotRun;
  Reason reason_ = Reason::None;
  // The server's HTTP status; only set for Answered.
  unsigned status_ = 0;
  // Delay after which a retry is useful; only set for NotRun.
  Duration retryAfter_{ 0 };
  Body body_;
  std::string contentType_;
  // The recorded outcome of an earlier request with the same id; set for duplicates.
  std::string detail_;
};

WorkAnswer
MakeNotRun(Reason aReason, Duration aRetryAfter);
WorkAnswer
MakeUnknown(Reason aReason);

// Messages between instances.
struct Heartbeat
{
  bool isLeaving_ = false;
  // Equal digests mean equal views.
  std::uint64_t viewDigest_ = 0;
  // Age of the sender's view: time since it was known to be up to date.
  Duration viewAge_{ 0 };
};
struct Suspicion
{
  InstanceId target_;
  bool isSuspected_ = false;
};
// Requests every row that is newer than its stamp.
struct ViewStamps
{
  std::vector<RowStamp> stamps_;
};
struct ViewRows
{
  std::vector<Row> rows_;
};
// The sender has applied this revision of the configuration.
struct ConfigurationApplied
{
  RowVersion revision_ = 0;
};
struct ForwardedRequest
{
  std::uint64_t id_ = 0;
  // While the request is in transit, its deadline is a remaining time.
  WorkRequest request_;
};
struct ForwardedAnswer
{
  std::uint64_t id_ = 0;
  WorkAnswer answer_;
};
struct ForwardedCancel
{
  std::uint64_t id_ = 0;
};
using PeerMessage = std::variant<Heartbeat,
                                 Suspicion,
                                 ViewStamps,
                                 ViewRows,
                                 ConfigurationApplied,
                                 ForwardedRequest,
                                 ForwardedAnswer,
                                 ForwardedCancel,
                                 ServerReport,
                                 ResumeCommand>;

// A command to a backend server to run a request.
struct WorkCommand
{
  WorkId id_ = 0;
  std::string server_;
  std::string address_;
  Fence fence_ = 0;
  KeyHash hash_ = 0;
  WorkRequest request_;
  // Latest time on the server's clock at which it may start the work, in microseconds.
  std::int64_t validUntil_ = 0;
};

// How an attempt at a backend server ended.
enum class WorkOutcome
{
  Answered,
  // The server rejected the fence or the grant and did not run the work.
  Refused,
  // The server is overloaded and shed the work without running it.
  Shed,
  // The deadline had passed on the server's clock; not run.
  Expired,
  // Cancelled before it started.
  Cancelled,
  // No byte of the request was sent.
  NotSent,
  // The connection broke after bytes were sent; the work may have run.
  Broken,
};

struct WorkReply
{
  WorkOutcome outcome_ = WorkOutcome::Broken;
  unsigned status_ = 0;
  Duration retryAfter_{ 0 };
  Body body_;
  std::string contentType_;
};

// A call to the table service: a transaction, or a read of every row that is newer than its
// stamp.
struct StoreCall
{
  bool isRead_ = false;
  Transaction transaction_;
  std::vector<RowStamp> stamps_;
};

} // namespace latchslip
