/** \file
 * Entry point of hickory-tests, which Catch2 provides.
 */
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
