#define BOOST_TEST_MODULE LibControl
#include <boost/test/unit_test.hpp>
