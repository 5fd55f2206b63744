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

// Maps an API key to its caller group. Stores only a keyed hash of each API key, with a random
// secret per index, so that the time of a lookup reveals nothing about the stored keys.
class ApiKeyIndex
{
public:
  ApiKeyIndex() = default;
  // Fails if two groups share a key; the error names the groups and never the key.
  static FieldResult<ApiKeyIndex> Create(const std::vector<CallerGroup>& aGroups);

  // Index of the key's group in the list given to Create; no value for an unknown key.
  std::optional<std::size_t> Find(std::string_view aKey) const;

private:
  // XXH3 requires a secret of at least 136 bytes.
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
