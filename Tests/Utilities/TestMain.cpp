#define BOOST_TEST_MODULE Utilities
#include <boost/test/unit_test.hpp>
