#pragma once

#include "LibTables/Tables.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryfold::traffic {

/// Learns from the calls that pass through the daemon which pools the local
/// upstream needs for each class. When a needed pool would refuse the call that
/// is to follow, running the first part is wasted, and the daemon refuses the
/// arriving call instead.
class downstream_dependency
{
public:
  /// Takes in one ended run and the pools that it called; a pool that was
  /// called several times may be named several times.
  void CountRun(tables::work_class aClass,
                std::vector<std::string> const& aPools);

  /// Returns the pools that nearly all recent runs of aClass called.
  std::vector<std::string> NeededPools(tables::work_class aClass) const;

private:
  struct class_record
  {
    std::uint32_t mRuns = 0;
    /// Share of recent runs that called the pool, by pool name.
    std::map<std::string, double> mShares;
  };

  std::array<class_record, tables::kWorkClassCount> mClasses;
};

}
