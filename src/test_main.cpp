#define BOOST_TEST_MODULE RATTANDOCK_TEST_MODULE
#include <boost/test/unit_test.hpp>
