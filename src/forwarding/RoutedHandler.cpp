#include "forwarding/RoutedHandler.h"

#include "forwarding/RoutedExchange.h"

namespace HickoryHollow {

Task<void> RoutedHandler::handle(const HttpRequest& request, ResponseWriter& writer)
{
    RoutedExchange exchange(m_context, request, writer);
    co_await exchange.run();
}

} // namespace HickoryHollow
