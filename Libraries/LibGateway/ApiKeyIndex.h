#pragma once

#include "LibBase/Result.h"
#include "LibGateway/CallerGroup.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace latchslip {

// Finds the group to which an API key belongs. It keeps no key, but a hash of each under a
// secret of its own, so that how long a look-up takes tells nothing of the keys that there
// are.
class ApiKeyIndex
{
public:
  ApiKeyIndex() = default;
  // Refuses a key that stands in two groups; the error names these and not the key.
  static FieldResult<ApiKeyIndex> Create(const std::vector<CallerGroup>& aGroups);

  // The place of the group in the list; no value for an unknown key.
  std::optional<std::size_t> Find(std::string_view aKey) const;

private:
  // XXH3 takes secrets of at least 136 bytes.
  static constexpr std::size_t kSecretBytes = 192;

  using Digest = std::pair<std::uint64_t, std::uint64_t>;
  struct DigestHash
  {
    std::size_t operator()(const Digest& aDigest) const { return aDigest.first; }
  };

  Digest DigestOf(std::string_view aKey) const;

  std::array<unsigned char, kSecretBytes> secret_{};
  std::unordered_map<Digest, std::size_t, DigestHash> groups_;
};

} // namespace latchslip
