#define BOOST_TEST_MODULE Platform
#include <boost/test/unit_test.hpp>
