#pragma once

#include "LibInstance/InstanceContext.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace latchslip {

// Runs the placers of the services for which this instance has the placer role, takes the
// role over when the placer of a service is missing or leaving, and commits what the placers
// propose.
//
// A role is held as long as the service's placement row names this instance; it does not
// expire. Every write is conditional on the version of the row that the decision was based
// on, so a placer that was replaced while it was suspended cannot change anything.
class PlacementController
{
public:
  // Called with a committed row, to be installed and broadcast.
  using InstallFunction = std::function<void(Instant, const Row&)>;
  using ResumeFunction = std::function<void(const InstanceId&, const ResumeCommand&)>;

  PlacementController(InstanceContext aContext, InstallFunction aInstall, ResumeFunction aResume);

  void Tick(Instant aNow);
  void OnReport(Instant aNow, const ServerReport& aReport);
  // Returns false if the tag belongs to another component.
  bool OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply);
  // The store has been read. No decision is made before, because a service without a
  // placement in the view may only not have been loaded yet.
  void OnStoreRead() { hasReadStore_ = true; }

  // Returns the number of services for which this instance is the placer.
  std::size_t PlacerRoleCount() const;

private:
  struct Role
  {
    explicit Role(Placer aPlacer)
      : placer_(std::move(aPlacer))
    {
    }

    Placer placer_;
    bool isPlacer_ = false;
    // The proposal being committed; one at a time.
    std::optional<PlacementProposal> proposal_;
    CallTag tag_ = 0;
    bool isReadBack_ = false;
    // The answer to the write was lost; it may or may not have taken effect.
    bool isIndeterminate_ = false;
    Instant notBefore_{ 0 };
    Instant idleUntil_{ 0 };
  };

  Role& GetOrCreateRole(const std::string& aService);
  // Whether this instance is the one that may take over the placer role of a service.
  bool IsCandidate(Instant aNow, const std::string& aService) const;
  void Decide(Instant aNow, const ServiceDeclaration& aService, Role& aRole);
  void Commit(Instant aNow, const std::string& aService, Role& aRole, PlacementProposal aProposal);
  void Send(const std::string& aService, Role& aRole);
  void ReadBack(const std::string& aService, Role& aRole);
  void OnCommitted(Instant aNow, Role& aRole, const Row& aRow);
  void OnUnavailable(Instant aNow, const std::string& aService, Role& aRole);
  // Resumes the withheld servers that are reachable again. No change of the placement may be open.
  void ResumeReturnedServers(const Placement& aCurrent, Role& aRole);
  void OnReadBack(Instant aNow, const std::string& aService, Role& aRole, const StoreReply& aReply);
  // The condition of the write failed; checks whether an earlier attempt had succeeded.
  void OnConflict(Instant aNow, const std::string& aService, Role& aRole, const StoreReply& aReply);

  InstanceContext context_;
  InstallFunction install_;
  ResumeFunction resume_;
  std::map<std::string, Role> roles_;
  bool hasReadStore_ = false;
};

} // namespace latchslip
