#define BOOST_TEST_MODULE LibCore
#include <boost/test/unit_test.hpp>
