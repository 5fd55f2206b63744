#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibKeys/KeyOwnership.h"

#include <cstdint>
#include <string>

namespace latchslip {

// Identifies a command within one run of a placer.
using CommandNumber = std::uint64_t;

// Identifies a series of exchanges with a server that certainly all reach the same incarnation,
// whatever is listed. 0 stands for an exchange of which that is not known.
using ServerSession = std::uint64_t;

// A command to a server: take a lease on a range of keys under a fence (grant), or give the range
// up (release).
struct KeyCommand
{
  CommandNumber number_ = 0;
  std::string server_;
  std::string address_;
  KeyNumber first_ = 0;
  KeyNumber last_ = 0;
  FenceNumber fence_ = 0;
  // Release if set, grant otherwise.
  bool isRelease_ = false;
  // For grants: the state that the former owner returned with its release, so that the new owner
  // does not start cold.
  std::string handover_;
  // For grants: lease duration, counted by the server from the arrival of the command.
  Duration leaseDuration_{ 0 };
  // Incarnation of the server that is addressed, as in KeyServer.
  std::uint64_t incarnation_ = 0;
  // For grants: the server has acknowledged this grant before.
  bool isRenewal_ = false;
  // For grants: the session with the server in which the fence was sent to it before, and outside
  // of which it must not be sent. 0 if the fence is new.
  ServerSession session_ = 0;

  KeySpan Span() const { return { first_, last_ }; }
};

// How a command ended, as far as the placer knows.
enum class CommandStatus
{
  Done,
  // The server has already seen a higher fence on some of the keys.
  HigherFence,
  // A different incarnation answered, so the addressed one has ended.
  OtherIncarnation,
  // Nothing was sent.
  NotSent,
  // Nothing was sent: the connection was refused.
  Refused,
  // The command was sent but not acknowledged; the server may still execute it, up to some seconds
  // later.
  Unanswered,
  // The server rejected the command as malformed, as servers without keys do.
  Malformed,
  // Nothing was sent: the session of the command has ended, so the server may have restarted since.
  SessionEnded,
};

inline constexpr NameTable<CommandStatus, 8> kCommandStatusNames{ { "done",
                                                                    "higher-fence",
                                                                    "other-life",
                                                                    "not-sent",
                                                                    "refused",
                                                                    "unanswered",
                                                                    "malformed",
                                                                    "session-ended" } };

// Result of a command.
struct CommandOutcome
{
  CommandStatus end_ = CommandStatus::Unanswered;
  // State that the server returned with the keys; set only for completed releases.
  std::string handover_;
  // The addressed incarnation announced in its answer that it is shutting down.
  bool isLeaving_ = false;
  // Status of the answer; 0 if there was none.
  unsigned status_ = 0;
  // The session in which the command was sent.
  ServerSession session_ = 0;
};

} // namespace latchslip
