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
  // By the queue's estimate the request could not start in time.
  DeadlineTooNear,
  UnknownGroup,
};

struct Admission
{
  AdmissionVerdict verdict_ = AdmissionVerdict::Admitted;
  // When trying again makes sense; set for refusals.
  Duration retryAfter_{ 0 };
};

// Divides the slots of one server among the groups that share it: weighted fair
// queueing by start tags (Goyal, Vin, Cheng: Start-time Fair Queueing, 1996),
// work conserving, with a head start for interactive groups. Pure decisions.
class ServerQueue
{
public:
  explicit ServerQueue(unsigned aSlots);

  // Takes the intents of this server's service; waiting requests are kept.
  void Configure(unsigned aSlots, const std::vector<SharingIntent>& aIntents);

  // Whether a request would be admitted now.
  Admission Check(Instant aNow, std::string_view aGroup, Instant aDeadline) const;

  // Puts a request into its group's queue if Check agrees.
  Admission Admit(Instant aNow, WorkId aId, std::string_view aGroup, Instant aDeadline);

  // The request to start now, if a slot is free; it takes the slot.
  std::optional<WorkId> StartNext();

  // A started request has ended and gives its slot back.
  void Finish(WorkId aId, Duration aServiceTime);

  // Takes a waiting request out; false when it was not waiting.
  bool Remove(WorkId aId);

  // Takes out the requests whose deadline would pass before they could end.
  std::vector<WorkId> TakeExpired(Instant aNow);

  // Slots that work of a former holder still occupies.
  void SetForeign(unsigned aSlots) { foreign_ = aSlots; }

  std::size_t Waiting() const { return waiting_; }
  std::size_t Running() const { return running_.size(); }
  unsigned Slots() const { return slots_; }
  Duration MeanServiceTime() const { return meanServiceTime_; }
  // How long a new request of the group would wait by the present estimate.
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
    double headStart_ = 0;
    unsigned maxWaiting_ = 0;
    unsigned maxSlots_ = 0;
    unsigned running_ = 0;
    // Virtual time at which its next request starts.
    double tag_ = 0;
    std::deque<Entry> waiting_;

    bool CanStart() const { return !waiting_.empty() && (maxSlots_ == 0 || running_ < maxSlots_); }
  };

  GroupQueue* ChooseGroup();

  unsigned slots_;
  unsigned foreign_ = 0;
  double virtualTime_ = 0;
  std::size_t waiting_ = 0;
  Duration meanServiceTime_;
  std::map<std::string, GroupQueue, std::less<>> groups_;
  std::map<WorkId, std::string> running_;
};

} // namespace latchslip
