#include "http/EventStreamScanner.h"

#include <algorithm>
#include <charconv>

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
        const auto event = std::string_view(m_pending).substr(start, end - start);
        if (takeEvent(event))
            m_whole.append(event);
        start = end;
    }
    m_pending.erase(0, start);
    return m_whole;
}

bool EventStreamScanner::isNew(std::string_view event)
{
    constexpr std::string_view idField = "id:";
    for (std::size_t line = 0; line < event.size(); line = event.find('\n', line) + 1) {
        auto text = event.substr(line);
        if (text.starts_with(idField)) {
            text.remove_prefix(idField.size());
            text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
            std::uint64_t id = 0;
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id);
            if (ec != std::errc() || end == text.data())
                return true;
            if (m_lastId && id <= *m_lastId)
                return false;
            m_lastId = id;
            return true;
        }
        if (event.find('\n', line) == std::string_view::npos)
            break;
    }
    return true;
}

/** True for an event to pass on. */
bool EventStreamScanner::takeEvent(std::string_view event)
{
    if (!isNew(event))
        return false;
    constexpr std::string_view dataField = "data:";
    const auto data = event.find(dataField);
    if (data == std::string_view::npos)
        return true;
    auto value = event.substr(data + dataField.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    if (m_marker == EndMarker::Done && value.starts_with("[DONE]"))
        m_isComplete = true;
    else
        ++m_events;
    return true;
}

} // namespace HickoryHollow
