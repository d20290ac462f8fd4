// Debian has no compiled Boost.JSON; this is the one file that brings it in.
#include <boost/json/src.hpp>
