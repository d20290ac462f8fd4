#define BOOST_TEST_MODULE LibMembership
#include <boost/test/unit_test.hpp>
