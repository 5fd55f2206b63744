#pragma once

#include "LibBase/Time.h"
#include "LibKeys/KeyOwnership.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Tracks until when each server may hold keys under any grant that it may still execute, including
// grants that were sent but not acknowledged (uncertain leases). OwnershipPlacer consults it before
// it gives the keys of a silent server to another one.
// For the commands of this placer the keys are tracked as well, so that an unacknowledged grant
// delays only its own keys, for 17 s instead of 5 s, and not all keys of its server. When four
// servers failed together and three of them had one such grant each, requests refused because their
// key had no owner dropped from 600/s to 100 to 200/s once the other grants had expired.
class LeaseBounds
{
public:
  // Drops all bounds and starts with the uncertain leases that other instances reported: the
  // servers that may hold any keys under late grants, and until when.
  void Start(std::map<std::string, Instant> aUncertainLeases);

  // The server may hold these keys until aUntil under a grant of this placer. Expired bounds of the
  // server are dropped.
  void Extend(Instant aNow, const std::string& aServer, KeySpan aKeys, Instant aUntil);
  // The server may hold any keys until aUntil under grants of former placers.
  void SetFormer(const std::string& aServer, Instant aUntil);
  // Caps the bounds of former placers at aLatest, when it becomes known that their grants expire by
  // then.
  void LimitFormer(Instant aLatest);
  // Drops the bounds from former placers and uncertain leases. To be called once the server has
  // acknowledged fences of this placer on all ranges that it owns and has released all others:
  // earlier grants are then superseded, and late ones fail against the higher fence.
  void DropFormer(const std::string& aServer);
  // Whether there are bounds that DropFormer would drop.
  bool HasFormer(const std::string& aServer) const
  {
    return formerGrants_.contains(aServer) || uncertainLeases_.contains(aServer);
  }

  // The time by which all grants of these keys to the server have expired; Instant::min() when
  // there are none.
  Instant LatestExpiry(const std::string& aServer, KeySpan aKeys) const;

private:
  using Bounds = std::map<std::string, Instant>;

  struct KeyBound
  {
    KeySpan keys_;
    Instant until_{ 0 };
  };

  // Grants of this placer, with their keys.
  std::map<std::string, std::vector<KeyBound>> ownGrants_;
  // Grants of former placers, for any key.
  Bounds formerGrants_;
  // Uncertain leases reported at the start, for any key.
  Bounds uncertainLeases_;
};

} // namespace latchslip
