#define BOOST_TEST_MODULE LibHttp
#include <boost/test/unit_test.hpp>
