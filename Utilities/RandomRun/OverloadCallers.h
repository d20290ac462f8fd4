#pragma once

#include "LibCore/Random.h"
#include "LibCore/TimerService.h"
#include "OverloadMesh.h"
#include "OverloadReport.h"
#include "OverloadShape.h"

#include <cstdint>

namespace cranberryfold::random_run {

/// Open-loop callers: requests begin at random times, whatever happens to the
/// earlier ones, and each caller tries again soon after a failure.
class overload_callers
{
public:
  overload_callers(overload_shape const& aShape,
                   overload_mesh& aMesh,
                   core::timer_service& aTimers,
                   core::random_source& aRandom,
                   overload_report& aReport);

  /// Begins the stream of requests. It ends at the end of the report's times.
  void Start(core::time_point aNow);

  /// Changes the rate to a multiple of the shape's.
  void SetDemand(double aFactor) { mDemand = aFactor; }

private:
  struct customer_request
  {
    request_shape const* mShape = nullptr;
    core::time_point mBegun;
    std::uint64_t mCallerHash = 0;
    std::size_t mRoot = 0;
    std::uint32_t mTries = 0;
  };

  void ScheduleNext(core::time_point aNow);
  void Begin(core::time_point aNow);
  void Try(core::time_point aNow, customer_request aRequest);
  void EndTry(core::time_point aNow,
              customer_request const& aRequest,
              core::time_point aTried,
              bool aSuccess);
  request_shape const& DrawShape();

  overload_shape const& mShape;
  overload_mesh& mMesh;
  core::timer_service& mTimers;
  core::random_source& mRandom;
  overload_report& mReport;
  double mDemand = 1;
  std::uint64_t mLastRequest = 0;
};

}
