#define BOOST_TEST_MODULE LibTraffic
#include <boost/test/unit_test.hpp>
