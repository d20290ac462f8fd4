#define BOOST_TEST_MODULE Daemon
#include <boost/test/unit_test.hpp>
