#define BOOST_TEST_MODULE LibWire
#include <boost/test/unit_test.hpp>
