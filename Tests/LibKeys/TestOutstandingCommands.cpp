#include "LibKeys/OutstandingCommands.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

KeyCommand
CommandTo(const std::string& aServer, bool aIsRelease = false)
{
  KeyCommand command;
  command.server_ = aServer;
  command.isRelease_ = aIsRelease;
  return command;
}

// Adds grants until the limit is reached, and returns their number.
std::size_t
Fill(OutstandingCommands& aCommands, const std::string& aServer)
{
  std::size_t count = 0;
  for (; aCommands.CanSendTo(aServer); ++count) {
    aCommands.Add(CommandTo(aServer));
  }
  return count;
}

TEST(OutstandingCommands, CommandsAreNumberedAndTakenOnce)
{
  OutstandingCommands commands;
  const auto first = commands.Add(CommandTo("s1"));
  const auto second = commands.Add(CommandTo("s2"));
  EXPECT_NE(first.number_, second.number_);
  EXPECT_EQ(commands.Take(second.number_, CommandStatus::Done)->server_, "s2");
  EXPECT_FALSE(commands.Take(second.number_, CommandStatus::Done));
  EXPECT_TRUE(commands.HasCommandTo("s1"));
  EXPECT_FALSE(commands.HasCommandTo("s2"));
}

TEST(OutstandingCommands, OutstandingRelease_IsNoGrant)
{
  OutstandingCommands commands;
  commands.Add(CommandTo("s1", true));
  EXPECT_TRUE(commands.HasCommandTo("s1"));
  EXPECT_FALSE(commands.HasGrantTo("s1", { 0, kLastKey }));
  commands.Add(CommandTo("s1"));
  EXPECT_TRUE(commands.HasGrantTo("s1", { 0, kLastKey }));
}

TEST(OutstandingCommands, OutstandingGrant_CoversOnlyItsKeys)
{
  OutstandingCommands commands;
  auto grant = CommandTo("s1");
  grant.first_ = 100;
  grant.last_ = 199;
  commands.Add(grant);
  EXPECT_TRUE(commands.HasGrantTo("s1", { 199, 300 }));
  EXPECT_FALSE(commands.HasGrantTo("s1", { 200, 300 }));
  EXPECT_FALSE(commands.HasGrantTo("s2", { 100, 199 }));
}

TEST(OutstandingCommands, OneServerIsAtItsLimit_OthersAreNot)
{
  OutstandingCommands commands;
  EXPECT_EQ(Fill(commands, "s1"), 64U);
  EXPECT_TRUE(commands.CanSendTo("s2"));
}

TEST(OutstandingCommands, TotalLimitIsReached_NoServerGetsMore)
{
  OutstandingCommands commands;
  std::size_t count = 0;
  for (int server = 0; server < 10; ++server) {
    count += Fill(commands, "s" + std::to_string(server));
  }
  EXPECT_EQ(count, 384U);
  EXPECT_FALSE(commands.CanSendTo("another"));
}

TEST(OutstandingCommands, ServerDidNotAnswer_IsLimitedToTwoUntilItDoes)
{
  OutstandingCommands commands;
  const auto unanswered = commands.Add(CommandTo("s1"));
  commands.Take(unanswered.number_, CommandStatus::Unanswered);
  EXPECT_EQ(Fill(commands, "s1"), 2U);
  const auto other = commands.Add(CommandTo("s1"));
  commands.Take(other.number_, CommandStatus::Refused);
  EXPECT_TRUE(commands.CanSendTo("s1"));
}

TEST(OutstandingCommands, Cleared_NumbersAreNotReused)
{
  OutstandingCommands commands;
  const auto old = commands.Add(CommandTo("s1"));
  commands.Clear();
  EXPECT_FALSE(commands.HasCommandTo("s1"));
  const auto next = commands.Add(CommandTo("s1"));
  EXPECT_NE(next.number_, old.number_);
  EXPECT_FALSE(commands.Take(old.number_, CommandStatus::Done));
}

} // namespace

} // namespace latchslip
