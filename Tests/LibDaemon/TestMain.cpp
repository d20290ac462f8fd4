#define BOOST_TEST_MODULE LibDaemon
#include <boost/test/unit_test.hpp>
