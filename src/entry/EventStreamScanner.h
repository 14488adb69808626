/** \file
 * Follows a stream of server-sent events piece by piece: where whole events end, how many there were, and whether the
 * end marker came.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace HickoryHollow {

class EventStreamScanner {
public:
    /** Takes bytes as they come; returns the whole events among them and what was held back before. */
    std::string_view feed(std::string_view bytes);

    /** `data: [DONE]` came. Nothing after it is passed on. */
    bool isComplete() const { return m_isComplete; }
    /** Data events without the end marker. */
    std::uint32_t events() const { return m_events; }
    /** An event grew past the limit, so that the stream cannot be followed. */
    bool isOversized() const { return m_pending.size() > maxEventBytes; }

private:
    static constexpr std::size_t maxEventBytes = 1 << 20;

    void countEvent(std::string_view event);

    std::string m_whole; // What the last feed returned.
    std::string m_pending; // Start of an event whose end has not come.
    std::uint32_t m_events = 0;
    bool m_isComplete = false;
};

} // namespace HickoryHollow
