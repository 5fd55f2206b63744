#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibDispatch/GrantKeeper.h"
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

// The typed messages that an instance exchanges with callers, peers, backend
// servers and operators.

// Bodies are large and pass through unchanged, so they are shared, not copied.
using Body = std::shared_ptr<const std::string>;

// What is certain about a request once it is answered.
enum class RequestOutcome
{
  // The server's complete answer is in hand.
  Answered,
  // The request certainly did not run and will not run.
  NotRun,
  // It may have run, or may still do so.
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
  // Chosen by the caller; empty when the caller answers for repeats itself.
  std::string requestId_;
  bool isRepeatable_ = false;
  // On the clock of the process that has the request.
  Instant deadline_{ 0 };
  Body body_;
  // Names this one sending of a request that needs a claim, through all of its
  // attempts; set by the instance that the caller reached.
  std::string sendingToken_;

  // Whether its id must be claimed before it runs.
  bool NeedsClaim() const { return !isRepeatable_ && !requestId_.empty(); }
};

struct WorkAnswer
{
  RequestOutcome outcome_ = RequestOutcome::NotRun;
  Reason reason_ = Reason::None;
  // The server's own status; only for answered requests.
  unsigned status_ = 0;
  // When to come back; for requests that did not run.
  Duration retryAfter_{ 0 };
  Body body_;
  std::string contentType_;
  // What is known of an earlier attempt under the same id.
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
  // How long ago the sender's view was known to be the newest.
  Duration viewAge_{ 0 };
};
struct Suspicion
{
  InstanceId target_;
  bool isSuspected_ = false;
};
// Asks for every row that is newer than these.
struct ViewStamps
{
  std::vector<RowStamp> stamps_;
};
struct ViewRows
{
  std::vector<Row> rows_;
};
// The sender has this configuration in force.
struct InForce
{
  RowVersion revision_ = 0;
};
struct ForwardedRequest
{
  std::uint64_t id_ = 0;
  // The deadline is a remaining time while the request is on its way.
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
                                 InForce,
                                 ForwardedRequest,
                                 ForwardedAnswer,
                                 ForwardedCancel,
                                 ServerReport,
                                 ResumeOrder>;

// Work for a backend server.
struct WorkOrder
{
  WorkId id_ = 0;
  std::string server_;
  std::string address_;
  Fence fence_ = 0;
  KeyHash hash_ = 0;
  WorkRequest request_;
  // The server must not start the work later than this on its own clock.
  std::int64_t validUntil_ = 0;
};

enum class WorkEnd
{
  Answered,
  // The server checked its grants and would not run it.
  Refused,
  // The server is too busy and did not run it.
  Shed,
  // Its deadline had passed on the server's clock; not run.
  Expired,
  // The server took it back before it started.
  Cancelled,
  // No byte of the request was sent.
  NotSent,
  // The connection broke after bytes were sent.
  Broken,
};

struct WorkReply
{
  WorkEnd end_ = WorkEnd::Broken;
  unsigned status_ = 0;
  Duration retryAfter_{ 0 };
  Body body_;
  std::string contentType_;
};

// A call of the table service: a transaction, or a read of every row that is
// newer than its stamp.
struct StoreCall
{
  bool isRead_ = false;
  Transaction transaction_;
  std::vector<RowStamp> stamps_;
};

} // namespace latchslip
