#include "LibGateway/RequestAgeEstimator.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

TEST(RequestAgeEstimator, FirstRequest_IsAFirstAttempt)
{
  RequestAgeEstimator requestAge;
  requestAge.OnRequest(milliseconds(2500));
  EXPECT_EQ(requestAge.AgeOf(milliseconds(2500)), Duration(0));
}

TEST(RequestAgeEstimator, RequestHasLessTimeLeftThanMost_IsAsOldAsTheDifference)
{
  RequestAgeEstimator requestAge;
  for (int index = 0; index < 100; ++index) {
    requestAge.OnRequest(milliseconds(index % 3 == 0 ? 2500 : 1900));
  }
  EXPECT_EQ(requestAge.AgeOf(milliseconds(1900)), milliseconds(600));
  EXPECT_EQ(requestAge.AgeOf(milliseconds(2500)), Duration(0));
}

TEST(RequestAgeEstimator, FewHaveMoreTimeThanAllOthers_EstimateIgnoresThem)
{
  RequestAgeEstimator requestAge;
  for (int index = 0; index < 200; ++index) {
    requestAge.OnRequest(milliseconds(index % 20 == 0 ? 60000 : 2500));
  }
  EXPECT_EQ(requestAge.AgeOf(milliseconds(2500)), Duration(0));
}

TEST(RequestAgeEstimator, CallersUseShorterTimeLimits_EstimateAdapts)
{
  RequestAgeEstimator requestAge;
  for (int index = 0; index < 100; ++index) {
    requestAge.OnRequest(milliseconds(2500));
  }
  for (int index = 0; index < 100; ++index) {
    requestAge.OnRequest(milliseconds(800));
  }
  EXPECT_EQ(requestAge.AgeOf(milliseconds(800)), Duration(0));
}

} // namespace

} // namespace latchslip
