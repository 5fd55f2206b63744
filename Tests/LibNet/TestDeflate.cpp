#include "LibNet/Deflate.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

// Returns the rows of a table of a thousand servers in the format of updates between instances.
std::string
MakeRows()
{
  std::string rows;
  for (int number = 0; number < 1000; ++number) {
    const auto id = std::to_string(number * 7919 % 1000003);
    rows += R"({"key":"i-)" + id + R"(","version":)" + std::to_string(number) +
            R"(,"value":"{\"service\":\"rates\",\"address\":\"10.3.0.)" +
            std::to_string(number % 250) + R"(:8641\",\"state\":\"ready\"}"},)";
  }
  return rows;
}

constexpr std::size_t kMaxBytes = 1024UL * 1024;

TEST(Deflate, TableOfAThousandServers_ShrinksToASixth)
{
  const auto rows = MakeRows();
  const auto bytes = Deflate(rows);
  EXPECT_LT(6 * bytes.size(), rows.size());
  EXPECT_EQ(Inflate(bytes, kMaxBytes).value(), rows);
}

TEST(Deflate, EmptyText_SurvivesRoundTrip)
{
  EXPECT_EQ(Inflate(Deflate(""), kMaxBytes).value(), "");
}

TEST(Deflate, TruncatedOrMalformedBytes_AreRefused)
{
  const auto bytes = Deflate(MakeRows());
  EXPECT_FALSE(Inflate(std::string_view(bytes).substr(0, bytes.size() / 2), kMaxBytes));
  EXPECT_FALSE(Inflate("not deflated", kMaxBytes));
  EXPECT_FALSE(Inflate("", kMaxBytes));
}

TEST(Deflate, TextAboveLimit_IsRefused)
{
  EXPECT_FALSE(Inflate(Deflate(std::string(kMaxBytes, 'x')), kMaxBytes / 2));
}

} // namespace

} // namespace latchslip
