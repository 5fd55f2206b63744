#include "LibInstance/View.h"

#include "LibBase/KeyHash.h"

#include <algorithm>

namespace latchslip {

namespace {

// A configuration row consists of the write token, this character and the declaration.
constexpr char kTokenEnd = '\n';

std::uint64_t
DigestOf(const Row& aRow)
{
  return HashPair(aRow.key_, std::to_string(aRow.version_));
}

} // namespace

std::string
PlacementKey(std::string_view aService)
{
  return std::string(kPlacementPrefix) + std::string(aService);
}

std::string
SerializeConfigurationRow(std::string_view aToken, const Declaration& aDeclaration)
{
  return std::string(aToken) + kTokenEnd + SerializeDeclaration(aDeclaration);
}

std::string
MakeWriteToken(std::string_view aInstance, std::uint64_t aNumber)
{
  return std::string(aInstance) + "/" + std::to_string(aNumber);
}

std::string_view
WriterOfToken(std::string_view aToken)
{
  return aToken.substr(0, aToken.rfind('/'));
}

std::string
TokenOfConfigurationRow(std::string_view aText)
{
  return std::string(aText.substr(0, aText.find(kTokenEnd)));
}

const Row*
View::FindRow(std::string_view aKey) const
{
  const auto found = rows_.find(aKey);
  return found == rows_.end() ? nullptr : &found->second;
}

const PlacedService*
View::FindPlacement(std::string_view aService) const
{
  const auto found = placements_.find(aService);
  return found == placements_.end() ? nullptr : &found->second;
}

InstallResult
View::InstallConfiguration(const Row& aRow)
{
  const auto split = aRow.value_.find(kTokenEnd);
  auto parsed = ParseDeclaration(
    std::string_view(aRow.value_).substr(split == std::string::npos ? 0 : split + 1));
  if (!parsed) {
    return InstallResult::Invalid;
  }
  configuration_ = std::move(parsed).value();
  revision_ = aRow.version_;
  confirmedBy_ = WriterOfToken(TokenOfConfigurationRow(aRow.value_));
  return InstallResult::Installed;
}

InstallResult
View::InstallPlacement(const Row& aRow)
{
  auto parsed = ParsePlacement(aRow.value_);
  if (!parsed || PlacementKey(parsed.value().service_) != aRow.key_) {
    return InstallResult::Invalid;
  }
  const auto service = parsed.value().service_;
  placements_[service] = { std::move(parsed).value(), aRow.version_ };
  return InstallResult::Installed;
}

InstallResult
View::Install(const Row& aRow)
{
  const auto* known = FindRow(aRow.key_);
  if (aRow.version_ == 0 || (known != nullptr && known->version_ >= aRow.version_)) {
    return InstallResult::NotNewer;
  }
  auto result = InstallResult::Invalid;
  if (aRow.key_ == kConfigurationKey) {
    result = InstallConfiguration(aRow);
  } else if (aRow.key_.starts_with(kPlacementPrefix)) {
    result = InstallPlacement(aRow);
  }
  if (result == InstallResult::Installed) {
    digest_ ^= known == nullptr ? 0 : DigestOf(*known);
    digest_ ^= DigestOf(aRow);
    rows_[aRow.key_] = aRow;
  }
  return result;
}

std::vector<RowStamp>
View::Stamps() const
{
  std::vector<RowStamp> stamps;
  const auto add = [&](const std::string& aKey) {
    const auto* row = FindRow(aKey);
    stamps.push_back({ aKey, row == nullptr ? 0 : row->version_ });
  };
  add(std::string(kConfigurationKey));
  for (const auto& service : configuration_.services_) {
    add(PlacementKey(service.name_));
  }
  return stamps;
}

std::vector<Row>
View::RowsNewerThan(const std::vector<RowStamp>& aStamps) const
{
  std::vector<Row> rows;
  for (const auto& [key, row] : rows_) {
    const auto stamp =
      std::find_if(aStamps.begin(), aStamps.end(), [&key = key](const RowStamp& aStamp) {
        return aStamp.key_ == key;
      });
    if (stamp == aStamps.end() || stamp->version_ < row.version_) {
      rows.push_back(row);
    }
  }
  return rows;
}

bool
View::HasOlderThan(const std::vector<RowStamp>& aStamps) const
{
  return std::any_of(aStamps.begin(), aStamps.end(), [&](const RowStamp& aStamp) {
    const auto* row = FindRow(aStamp.key_);
    return aStamp.version_ > (row == nullptr ? 0 : row->version_);
  });
}

} // namespace latchslip
