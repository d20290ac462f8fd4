#include "LibDaemon/RoutingView.h"

namespace cranberryfold::daemon {

tables::table_set const&
routing_view::Tables() const
{
  static tables::table_set const kEmpty;
  return mRoutes ? mRoutes->Tables() : kEmpty;
}

}
