/** \file
 * Steady-clock timer of an event loop.
 */
#pragma once

#include "net/Task.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>

namespace HickoryHollow {

using Timer = asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>;

} // namespace HickoryHollow
