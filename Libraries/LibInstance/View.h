#pragma once

#include "LibConfig/Declaration.h"
#include "LibPlacement/Placement.h"
#include "LibStore/Row.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

inline constexpr std::string_view kConfigurationKey = "config";
inline constexpr std::string_view kPlacementPrefix = "placement/";

std::string
PlacementKey(std::string_view aService);

enum class InstallResult
{
  Installed,
  NotNewer,
  // The row could not be parsed; the older row stays.
  Invalid,
};

// A placement together with the version of its row.
struct PlacedService
{
  Placement placement_;
  RowVersion version_ = 0;
};

// This instance's copy of the shared rows: the confirmed configuration and the placements. A
// row is only ever replaced by a newer version of it.
class View
{
public:
  InstallResult Install(const Row& aRow);

  const Declaration& Configuration() const { return configuration_; }
  // Version of the configuration row; 0 before a configuration has been installed.
  RowVersion Revision() const { return revision_; }
  // The instance through which the configuration in force was confirmed.
  const std::string& ConfirmedBy() const { return confirmedBy_; }
  const PlacedService* FindPlacement(std::string_view aService) const;

  // Returns a stamp for each row that this view has or, by its configuration, should have
  // (version 0).
  std::vector<RowStamp> Stamps() const;
  std::vector<Row> RowsNewerThan(const std::vector<RowStamp>& aStamps) const;
  // Whether a stamp has a newer version than this view.
  bool HasOlderThan(const std::vector<RowStamp>& aStamps) const;
  // Hash over the keys and versions of all rows; equal digests mean equal views.
  std::uint64_t Digest() const { return digest_; }
  const Row* FindRow(std::string_view aKey) const;

private:
  InstallResult InstallConfiguration(const Row& aRow);
  InstallResult InstallPlacement(const Row& aRow);

  std::map<std::string, Row, std::less<>> rows_;
  std::uint64_t digest_ = 0;
  RowVersion revision_ = 0;
  std::string confirmedBy_;
  Declaration configuration_;
  std::map<std::string, PlacedService, std::less<>> placements_;
};

// Returns the content of the configuration row: the write token of the confirmation and the
// declaration.
std::string
SerializeConfigurationRow(std::string_view aToken, const Declaration& aDeclaration);
// Returns a unique write token, "INSTANCE/NUMBER", from which the writer can be read.
std::string
MakeWriteToken(std::string_view aInstance, std::uint64_t aNumber);
std::string_view
WriterOfToken(std::string_view aToken);
std::string
TokenOfConfigurationRow(std::string_view aText);

} // namespace latchslip
