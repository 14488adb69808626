/** \file
 * Follows a stream of server-sent events piece by piece: where whole events end, how many there were, and whether the
 * end marker came.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace HickoryHollow {

class EventStreamScanner {
public:
    enum class EndMarker {
        Done, ///< `data: [DONE]` ends the stream.
        None, ///< The stream ends with its body.
    };

    explicit EventStreamScanner(EndMarker marker = EndMarker::Done)
        : m_marker(marker)
    {
    }

    /** Takes bytes as they come; returns the whole events among them and what was held back before. */
    std::string_view feed(std::string_view bytes);

    /** `data: [DONE]` came. Nothing after it is passed on. */
    bool isComplete() const { return m_isComplete; }
    /** Events with an `id` up to this one are left out of what feed() returns, for a stream that goes on elsewhere. */
    void skipTo(std::uint64_t id) { m_lastId = id; }
    /** Id of the last event that feed() returned; nothing before one with a number. */
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /** Start of an event whose end has not come. */
    std::string_view rest() const { return m_pending; }
    /** Data events without the end marker. */
    std::uint32_t events() const { return m_events; }
    /** An event grew past the limit, so that the stream cannot be followed. */
    bool isOversized() const { return m_pending.size() > maxEventBytes; }

private:
    static constexpr std::size_t maxEventBytes = 1 << 20;

    bool takeEvent(std::string_view event);
    bool isNew(std::string_view event);

    EndMarker m_marker;
    std::optional<std::uint64_t> m_lastId; // Only grows.
    std::string m_whole; // What the last feed returned.
    std::string m_pending; // Start of an event whose end has not come.
    std::uint32_t m_events = 0;
    bool m_isComplete = false;
};

} // namespace HickoryHollow
