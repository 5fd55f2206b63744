#include "LibKeys/OutstandingCommands.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

KeyCommand
OrderTo(const std::string& aServer, bool aIsRelease = false)
{
  KeyCommand order;
  order.server_ = aServer;
  order.isRelease_ = aIsRelease;
  return order;
}

// Adds grants until the limit is reached, and returns their number.
std::size_t
Fill(OutstandingCommands& aBook, const std::string& aServer)
{
  std::size_t count = 0;
  for (; aBook.HasRoomFor(aServer); ++count) {
    aBook.Add(OrderTo(aServer));
  }
  return count;
}

TEST(OutstandingCommands, OrdersAreNumberedAndTakenOutOnce)
{
  OutstandingCommands book;
  const auto first = book.Add(OrderTo("s1"));
  const auto second = book.Add(OrderTo("s2"));
  EXPECT_NE(first.number_, second.number_);
  EXPECT_EQ(book.Take(second.number_, CommandStatus::Done)->server_, "s2");
  EXPECT_FALSE(book.Take(second.number_, CommandStatus::Done));
  EXPECT_TRUE(book.HasOrderTo("s1"));
  EXPECT_FALSE(book.HasOrderTo("s2"));
}

TEST(OutstandingCommands, ReleaseUnderWay_IsNoGrant)
{
  OutstandingCommands book;
  book.Add(OrderTo("s1", true));
  EXPECT_TRUE(book.HasOrderTo("s1"));
  EXPECT_FALSE(book.HasGrantTo("s1", { 0, kLastKey }));
  book.Add(OrderTo("s1"));
  EXPECT_TRUE(book.HasGrantTo("s1", { 0, kLastKey }));
}

TEST(OutstandingCommands, GrantUnderWay_ConcernsOnlyItsKeys)
{
  OutstandingCommands book;
  auto grant = OrderTo("s1");
  grant.first_ = 100;
  grant.last_ = 199;
  book.Add(grant);
  EXPECT_TRUE(book.HasGrantTo("s1", { 199, 300 }));
  EXPECT_FALSE(book.HasGrantTo("s1", { 200, 300 }));
  EXPECT_FALSE(book.HasGrantTo("s2", { 100, 199 }));
}

TEST(OutstandingCommands, ServerHasAsManyAsItMay_OthersHaveRoom)
{
  OutstandingCommands book;
  EXPECT_EQ(Fill(book, "s1"), 64U);
  EXPECT_TRUE(book.HasRoomFor("s2"));
}

TEST(OutstandingCommands, AsManyAsThereMayBeInAll_NobodyHasRoom)
{
  OutstandingCommands book;
  std::size_t count = 0;
  for (int server = 0; server < 10; ++server) {
    count += Fill(book, "s" + std::to_string(server));
  }
  EXPECT_EQ(count, 384U);
  EXPECT_FALSE(book.HasRoomFor("another"));
}

TEST(OutstandingCommands, ServerDidNotAnswer_GetsTwoUntilItDoes)
{
  OutstandingCommands book;
  const auto unanswered = book.Add(OrderTo("s1"));
  book.Take(unanswered.number_, CommandStatus::Unanswered);
  EXPECT_EQ(Fill(book, "s1"), 2U);
  const auto other = book.Add(OrderTo("s1"));
  book.Take(other.number_, CommandStatus::Refused);
  EXPECT_TRUE(book.HasRoomFor("s1"));
}

TEST(OutstandingCommands, Cleared_NumbersGoOn)
{
  OutstandingCommands book;
  const auto old = book.Add(OrderTo("s1"));
  book.Clear();
  EXPECT_FALSE(book.HasOrderTo("s1"));
  const auto next = book.Add(OrderTo("s1"));
  EXPECT_NE(next.number_, old.number_);
  EXPECT_FALSE(book.Take(old.number_, CommandStatus::Done));
}

} // namespace

} // namespace latchslip
