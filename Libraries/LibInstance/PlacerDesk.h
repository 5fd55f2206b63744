#pragma once

#include "LibInstance/InstanceContext.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace latchslip {

// Takes the placer's role for services whose placer is missing, and commits
// what the placers propose. A role is a lease without a term: it is held as
// long as the row names this instance, and every write is conditional on the
// row being the one that was read, so a placer that was replaced while it slept
// can change nothing.
class PlacerDesk
{
public:
  // Called with a row that is now known to stand, to be installed and spread.
  using InstallFunction = std::function<void(Instant, const Row&)>;
  using ResumeFunction = std::function<void(const InstanceId&, const ResumeOrder&)>;

  PlacerDesk(InstanceContext aContext, InstallFunction aInstall, ResumeFunction aResume);

  void Tick(Instant aNow);
  void OnReport(Instant aNow, const ServerReport& aReport);
  bool OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply);
  // Nothing is decided before the store was read once: a service that seems to
  // have no placement may only not be known yet.
  void OnStoreRead() { hasReadStore_ = true; }

  std::size_t RolesHeld() const;

private:
  struct Role
  {
    explicit Role(Placer aPlacer)
      : placer_(std::move(aPlacer))
    {
    }

    Placer placer_;
    bool isPlacer_ = false;
    // The proposal that is being committed; one at a time.
    std::optional<PlacementProposal> proposal_;
    CallTag tag_ = 0;
    bool isReadBack_ = false;
    // The answer was lost; the fate of the proposal is open.
    bool isUnsure_ = false;
    Instant notBefore_{ 0 };
    Instant idleUntil_{ 0 };
  };

  Role& RoleOf(const std::string& aService);
  bool IsCandidate(Instant aNow, const std::string& aService) const;
  void Decide(Instant aNow, const ServiceDeclaration& aService, Role& aRole);
  void Commit(Instant aNow, const std::string& aService, Role& aRole, PlacementProposal aProposal);
  void Send(const std::string& aService, Role& aRole);
  void ReadBack(const std::string& aService, Role& aRole);
  void OnCommitted(Instant aNow, Role& aRole, const Row& aRow);
  void OnRefused(Instant aNow, Role& aRole);
  void OnReadBack(Instant aNow, const std::string& aService, Role& aRole, const StoreReply& aReply);
  void OnConflict(Instant aNow, const std::string& aService, Role& aRole, const StoreReply& aReply);

  InstanceContext context_;
  InstallFunction install_;
  ResumeFunction resume_;
  std::map<std::string, Role> roles_;
  bool hasReadStore_ = false;
};

} // namespace latchslip
