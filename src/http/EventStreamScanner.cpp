#include "http/EventStreamScanner.h"

#include <algorithm>
#include <charconv>

namespace HickoryHollow {

namespace {

/**
 * Position in `text` after the first blank line that ends an event which starts at `start`; npos if that event is incomplete. Looks at
 * line feeds from `from` on only, so that a long event that comes in many parts is not searched again with each.
 */
std::size_t findEventEnd(std::string_view text, std::size_t start, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        const auto next = text.substr(at + 1);
        if (next.starts_with('\n'))
            return at + 2;
        if (next.starts_with("\r\n") && at > start && text[at - 1] == '\r')
            return at + 3;
    }
    return std::string_view::npos;
}

/** True if the event has only comment lines, which begin with a colon. */
bool isComment(std::string_view event)
{
    for (std::size_t line = 0; line < event.size(); line = event.find('\n', line) + 1) {
        const auto first = event[line];
        if (first != ':' && first != '\n' && first != '\r')
            return false;
        if (event.find('\n', line) == std::string_view::npos)
            break;
    }
    return true;
}

} // namespace

std::string_view EventStreamScanner::feed(std::string_view bytes)
{
    constexpr std::size_t unfinishedBytes = 2; // A line feed among the last two bytes may begin a blank line.
    m_output.clear();
    if (m_isComplete)
        return m_output;
    auto from = m_pending.size() - std::min(m_pending.size(), unfinishedBytes);
    m_pending.append(bytes);
    std::size_t start = 0;
    while (!m_isComplete) {
        const auto end = findEventEnd(m_pending, start, from);
        if (end == std::string::npos)
            break;
        const auto event = std::string_view(m_pending).substr(start, end - start);
        if (processEvent(event))
            m_output.append(event);
        start = end;
        from = end;
    }
    m_pending.erase(0, m_isComplete ? m_pending.size() : start);
    return m_output;
}

std::size_t EventStreamScanner::heldBytes() const
{
    const auto output = m_output.capacity();
    const auto pending = m_pending.capacity();
    return (output > usualOutputBytes ? output : 0) + (pending > usualPendingBytes ? pending : 0);
}

void EventStreamScanner::dropOutput()
{
    std::string().swap(m_output);
    if (m_pending.capacity() > usualPendingBytes)
        m_pending.shrink_to_fit();
}

void EventStreamScanner::dropAll()
{
    std::string().swap(m_output);
    std::string().swap(m_pending);
}

bool EventStreamScanner::isNewEvent(std::string_view event)
{
    constexpr std::string_view idField = "id:";
    m_hasId = false;
    for (std::size_t line = 0; line < event.size(); line = event.find('\n', line) + 1) {
        auto text = event.substr(line);
        if (text.starts_with(idField)) {
            text.remove_prefix(idField.size());
            text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
            std::uint64_t id = 0;
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id);
            if (ec != std::errc() || end == text.data())
                return true;
            m_hasId = true;
            m_firstId = m_firstId.value_or(id);
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

/** Updates the state of the stream with a complete event. Returns false if the event is to be left out. */
bool EventStreamScanner::processEvent(std::string_view event)
{
    if (!isNewEvent(event))
        return false;
    m_progressCount += isComment(event) ? 0 : 1;
    constexpr std::string_view dataField = "data:";
    const auto data = event.find(dataField);
    if (data == std::string_view::npos)
        return true;
    m_endsWithId = m_hasId;
    auto value = event.substr(data + dataField.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    if (m_endMarker == EndMarker::Done && value.starts_with("[DONE]"))
        m_isComplete = true;
    else
        ++m_eventCount;
    return true;
}

} // namespace HickoryHollow
