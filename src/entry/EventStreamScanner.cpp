#include "entry/EventStreamScanner.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

/** Length of the first event in `text` with its blank line; npos where none is whole. */
std::size_t eventLength(std::string_view text, std::size_t from)
{
    const auto bare = text.find("\n\n", from);
    const auto withReturns = text.find("\r\n\r\n", from);
    if (withReturns < bare)
        return withReturns + 4;
    return bare == std::string_view::npos ? bare : bare + 2;
}

} // namespace

std::string_view EventStreamScanner::feed(std::string_view bytes)
{
    m_whole.clear();
    m_pending.append(bytes);
    std::size_t start = 0;
    while (!m_isComplete) {
        const auto end = eventLength(m_pending, start);
        if (end == std::string::npos)
            break;
        countEvent(std::string_view(m_pending).substr(start, end - start));
        start = end;
    }
    m_whole.assign(m_pending, 0, start);
    m_pending.erase(0, start);
    return m_whole;
}

void EventStreamScanner::countEvent(std::string_view event)
{
    constexpr std::string_view dataField = "data:";
    const auto data = event.find(dataField);
    if (data == std::string_view::npos)
        return;
    auto value = event.substr(data + dataField.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    if (value.starts_with("[DONE]"))
        m_isComplete = true;
    else
        ++m_events;
}

} // namespace HickoryHollow
