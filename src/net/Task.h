/** \file
 * The coroutine type of all input and output: it runs on one thread's event loop and reports errors as values.
 */
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace HickoryHollow {

namespace asio = boost::asio;

using Executor = asio::io_context::executor_type;

template <typename T>
using Task = asio::awaitable<T, Executor>;

/** Completion token: the operation's error code and results come back as a tuple. */
inline constexpr asio::as_tuple_t<asio::use_awaitable_t<Executor>> asTuple { asio::use_awaitable_t<Executor> {} };

} // namespace HickoryHollow
