#define BOOST_TEST_MODULE RandomRun
#include <boost/test/unit_test.hpp>
