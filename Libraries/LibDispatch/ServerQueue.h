#pragma once

#include "LibBase/Time.h"
#include "LibConfig/Declaration.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

using WorkId = std::uint64_t;

enum class AdmissionVerdict
{
  Admitted,
  // The queue of the group is full.
  QueueFull,
  // By the estimated wait, the request could not finish before its deadline.
  DeadlineTooNear,
  UnknownGroup,
};

// Result of admission control for one request.
struct Admission
{
  AdmissionVerdict verdict_ = AdmissionVerdict::Admitted;
  // Delay after which a retry is useful; set for refusals.
  Duration retryAfter_{ 0 };
};

// Request queue of one server, with admission control. Divides the server's slots among the
// groups that share it by Start-time Fair Queueing (Goyal, Vin and Cheng, 1996): weighted by
// portion, work-conserving, earliest deadline first within a group, and with a priority
// offset for interactive groups. Pure decisions without I/O.
class ServerQueue
{
public:
  explicit ServerQueue(unsigned aSlots);

  // Applies the number of slots and the intents of this server's service; waiting requests
  // are kept.
  void Configure(unsigned aSlots, const std::vector<SharingIntent>& aIntents);

  // Checks whether a request would be admitted now.
  Admission Check(Instant aNow, std::string_view aGroup, Instant aDeadline) const;

  // Queues a request if Check() admits it.
  Admission Admit(Instant aNow, WorkId aId, std::string_view aGroup, Instant aDeadline);

  // Dequeues the request to start now if a slot is free; the request then occupies the slot.
  std::optional<WorkId> StartNext();

  // Frees the slot of a started request. aServiceTime updates the service time estimate; 0 if
  // the request did not run to its end.
  void Finish(WorkId aId, Duration aServiceTime);

  // Removes a waiting request; returns false if it was not waiting.
  bool Remove(WorkId aId);

  // Removes and returns the waiting requests that, by the estimated service time, can no
  // longer finish before their deadlines.
  std::vector<WorkId> TakeExpired(Instant aNow);

  // Sets the number of slots that work of a former holder still occupies.
  void SetForeignSlots(unsigned aSlots) { foreignSlots_ = aSlots; }

  std::size_t Waiting() const { return waiting_; }
  std::size_t Running() const { return running_.size(); }
  unsigned Slots() const { return slots_; }
  Duration MeanServiceTime() const { return meanServiceTime_; }
  // Estimated wait of a new request of the group.
  Duration EstimateWait(std::string_view aGroup) const;

private:
  struct Entry
  {
    WorkId id_;
    Instant deadline_;
  };
  struct GroupQueue
  {
    double portion_ = 1;
    double priorityOffset_ = 0;
    unsigned maxWaiting_ = 0;
    unsigned maxSlots_ = 0;
    unsigned running_ = 0;
    // Start tag: the virtual time at which the next request of the group starts.
    double startTag_ = 0;
    std::deque<Entry> waiting_;

    bool CanStart() const { return !waiting_.empty() && (maxSlots_ == 0 || running_ < maxSlots_); }
  };

  // Returns the group with the lowest start tag that can start a request, or nullptr.
  GroupQueue* ChooseGroup();

  unsigned slots_;
  unsigned foreignSlots_ = 0;
  double virtualTime_ = 0;
  std::size_t waiting_ = 0;
  Duration meanServiceTime_;
  std::map<std::string, GroupQueue, std::less<>> groups_;
  std::map<WorkId, std::string> running_;
};

} // namespace latchslip
