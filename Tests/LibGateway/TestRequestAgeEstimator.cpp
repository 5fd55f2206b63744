#include "LibGateway/RequestAgeEstimator.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

TEST(RequestAgeEstimator, FirstRequest_IsAFirstTry)
{
  RequestAgeEstimator patience;
  patience.OnRequest(milliseconds(2500));
  EXPECT_EQ(patience.AgeOf(milliseconds(2500)), Duration(0));
}

TEST(RequestAgeEstimator, RequestHasLessTimeLeftThanMost_IsAsOldAsTheDifference)
{
  RequestAgeEstimator patience;
  for (int index = 0; index < 100; ++index) {
    patience.OnRequest(milliseconds(index % 3 == 0 ? 2500 : 1900));
  }
  EXPECT_EQ(patience.AgeOf(milliseconds(1900)), milliseconds(600));
  EXPECT_EQ(patience.AgeOf(milliseconds(2500)), Duration(0));
}

TEST(RequestAgeEstimator, FewHaveMoreTimeThanAllOthers_TheyDoNotMakeTheOthersOld)
{
  RequestAgeEstimator patience;
  for (int index = 0; index < 200; ++index) {
    patience.OnRequest(milliseconds(index % 20 == 0 ? 60000 : 2500));
  }
  EXPECT_EQ(patience.AgeOf(milliseconds(2500)), Duration(0));
}

TEST(RequestAgeEstimator, CallersGiveLessTimeThanBefore_IsLearntAnew)
{
  RequestAgeEstimator patience;
  for (int index = 0; index < 100; ++index) {
    patience.OnRequest(milliseconds(2500));
  }
  for (int index = 0; index < 100; ++index) {
    patience.OnRequest(milliseconds(800));
  }
  EXPECT_EQ(patience.AgeOf(milliseconds(800)), Duration(0));
}

} // namespace

} // namespace latchslip
