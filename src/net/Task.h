/** \file
 * The coroutine type for all I/O: a task runs on one event loop, and I/O errors are returned as values, not thrown.
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

/** Completion token: `co_await` yields a tuple of the error code and the results of the operation. */
inline constexpr asio::as_tuple_t<asio::use_awaitable_t<Executor>> asTuple { asio::use_awaitable_t<Executor> {} };

} // namespace HickoryHollow
