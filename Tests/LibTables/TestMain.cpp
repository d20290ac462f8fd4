#define BOOST_TEST_MODULE LibTables
#include <boost/test/unit_test.hpp>
