#include "forwarding/DeliveredStream.h"

#include "http/EventStreamScanner.h"
#include "http/ResponseWriter.h"

#include <algorithm>

namespace HickoryHollow {

std::string_view DeliveredStream::read(EventStreamScanner& scanner, std::string_view bytes) const
{
    if (m_position)
        scanner.skipThrough(*m_position);
    return scanner.feed(bytes);
}

Task<std::error_code> DeliveredStream::write(std::string_view events, const EventStreamScanner& scanner)
{
    // The scanner may go on before the write ends.
    const auto through = scanner.lastEventId();
    const auto mayGoOn = scanner.eventCount() > 0 ? scanner.endsWithId() : m_mayGoOn;
    const auto ec = co_await m_writer.write(events);
    if (ec)
        co_return ec;
    m_position = std::max(m_position, through); // Nothing is less than any id.
    m_mayGoOn = mayGoOn;
    co_return ec;
}

} // namespace HickoryHollow
