#include "GuaranteeChecker.h"

#include <algorithm>
#include <iostream>

namespace latchslip::platform {

namespace {

// Retry budget in the settings of the soak's instances (see MakeSettings), for each service: a
// share of the requests, plus kRetryExtra in each window of ten seconds.
constexpr double kRetryRatio = 0.2;
constexpr double kRetryExtra = 62;
constexpr double kRetryWindow = 10;
constexpr double kServices = 3;

} // namespace

void
GuaranteeChecker::ReportViolation(const std::string& aWhat)
{
  std::cout << "BROKEN " << aWhat << std::endl;
  violations_.push_back(aWhat);
}

void
GuaranteeChecker::OnRequestSent(const std::string& aRequest,
                                bool aIsBooking,
                                const std::string& aInstance)
{
  requests_[aRequest].isBooking_ = aIsBooking;
  announcements_.OnRequestSent(aRequest, aInstance);
}

void
GuaranteeChecker::OnRefused(const std::string& aRequest)
{
  auto& request = requests_[aRequest];
  request.isRefused_ = true;
  if (request.isBooking_ && request.runs_ > 0) {
    ReportViolation("REFUSED " + aRequest + " was executed before it was reported as not executed");
  }
}

void
GuaranteeChecker::OnSuccess(const std::string& aRequest,
                            const std::string& aBody,
                            const std::string& aSignature)
{
  if (aBody != "answer to " + aRequest || aSignature != "signed-" + aRequest) {
    ReportViolation("MIXED " + aRequest + " got a wrong body or signature: " + aBody);
  }
}

void
GuaranteeChecker::OnArrival(const StandInBackend& aBackend, const std::string& aRequest)
{
  ++arrivals_[aBackend.Id()];
  if (!requests_.contains(aRequest)) {
    ReportViolation("UNASKED " + aRequest + " at " + aBackend.Id());
  }
  auto& request = requests_[aRequest];
  ++request.arrivals_;
  bookingArrivals_[aBackend.Id()] += request.isBooking_ ? 1 : 0;
  if (const auto violation = announcements_.OnArrival(aBackend.Id(), aRequest)) {
    ReportViolation(*violation);
  }
}

void
GuaranteeChecker::OnRun(const StandInBackend& aBackend, const std::string& aRequest)
{
  auto& request = requests_[aRequest];
  ++request.runs_;
  announcements_.OnRun(aBackend.Id(), aRequest);
  if (!request.isBooking_) {
    return;
  }
  if (request.runs_ > 1) {
    ReportViolation("TWICE " + aRequest + " at " + aBackend.Id());
  }
  if (request.isRefused_) {
    ReportViolation("REFUSED " + aRequest + " is executed at " + aBackend.Id() +
                    " after it was reported as not executed");
  }
}

void
GuaranteeChecker::OnGrant(StandInBackend& aBackend, KeyNumber aFirst, KeyNumber aLast)
{
  for (const auto* other : listServers_()) {
    if (other == &aBackend || !other->IsUp() || other->Service() != aBackend.Service()) {
      continue;
    }
    for (auto key = aFirst; key <= aLast; ++key) {
      if (other->HoldsValidLease(key) && aBackend.HoldsValidLease(key)) {
        ReportViolation("OWNER key " + std::to_string(key) + " is held by " + other->Id() +
                        " and " + aBackend.Id());
        return;
      }
    }
  }
}

void
GuaranteeChecker::CheckRetries(double aSeconds)
{
  double repeats = 0;
  for (const auto& [id, request] : requests_) {
    repeats += std::max(0, request.arrivals_ - 1);
  }
  const auto allowed = kRetryRatio * static_cast<double>(requests_.size()) +
                       kServices * kRetryExtra * (1 + aSeconds / kRetryWindow);
  if (repeats > allowed) {
    ReportViolation("BUDGET " + std::to_string(repeats) + " repeats, " + std::to_string(allowed) +
                    " allowed");
  }
}

bool
GuaranteeChecker::HasArrived(const std::string& aRequest) const
{
  const auto found = requests_.find(aRequest);
  return found != requests_.end() && found->second.arrivals_ > 0;
}

std::size_t
GuaranteeChecker::ArrivalsOf(const std::string& aServer) const
{
  const auto found = arrivals_.find(aServer);
  return found == arrivals_.end() ? 0 : found->second;
}

std::size_t
GuaranteeChecker::BookingArrivalsOf(const std::string& aServer) const
{
  const auto found = bookingArrivals_.find(aServer);
  return found == bookingArrivals_.end() ? 0 : found->second;
}

} // namespace latchslip::platform
