#include "LoadHistory.h"

namespace cranberryfold::stand_in {

void
load_history::Record(clock::time_point aNow, load_report const& aReport)
{
  mChanges.push_back({ aNow, aReport });
  // The latest change before the lag is still needed: it holds until the next.
  while (mChanges.size() > 1 && mChanges[1].mTime <= aNow - mLag) {
    mChanges.pop_front();
  }
}

load_report
load_history::At(clock::time_point aNow) const
{
  load_report found;
  for (auto const& change : mChanges) {
    if (change.mTime > aNow - mLag) {
      break;
    }
    found = change.mReport;
  }
  return found;
}

}
