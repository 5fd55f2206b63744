#include "LibGateway/ApiKeyIndex.h"

#include <cstring>
#include <random>
#include <xxhash.h>

namespace latchslip {

FieldResult<ApiKeyIndex>
ApiKeyIndex::Create(const std::vector<CallerGroup>& aGroups)
{
  ApiKeyIndex index;
  std::random_device device;
  for (std::size_t at = 0; at < kSecretBytes; at += sizeof(std::random_device::result_type)) {
    const auto word = device();
    std::memcpy(index.secret_.data() + at, &word, sizeof(word));
  }
  for (std::size_t group = 0; group < aGroups.size(); ++group) {
    for (const auto& key : aGroups[group].apiKeys_) {
      const auto [entry, isNew] = index.groups_.try_emplace(index.DigestOf(key), group);
      if (!isNew && entry->second != group) {
        return FieldError{ "group " + aGroups[group].name_,
                           "shares an API key with the group " + aGroups[entry->second].name_ };
      }
    }
  }
  return index;
}

std::optional<std::size_t>
ApiKeyIndex::Find(std::string_view aKey) const
{
  const auto group = groups_.find(DigestOf(aKey));
  return group == groups_.end() ? std::nullopt : std::optional(group->second);
}

ApiKeyIndex::Digest
ApiKeyIndex::DigestOf(std::string_view aKey) const
{
  const auto digest =
    XXH3_128bits_withSecret(aKey.data(), aKey.size(), secret_.data(), secret_.size());
  return { digest.low64, digest.high64 };
}

} // namespace latchslip
