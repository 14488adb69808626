/** \file
 * The code of Boost.JSON, compiled once.
 */
#include <boost/json/src.hpp>
