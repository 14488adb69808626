/** \file
 * Incremental parser of a stream of server-sent events. It returns complete events only, counts them, recognises the end
 * marker, and leaves out events that were already delivered before a resumption of the stream.
 */
#pragma once

#include <algorithm>
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
        None, ///< The stream ends where the response body ends.
    };

    explicit EventStreamScanner(EndMarker marker = EndMarker::Done)
        : m_endMarker(marker)
    {
    }

    /** Takes the next bytes; returns the events that they complete. The result is valid until the next call. */
    std::string_view feed(std::string_view bytes);

    /** True once `data: [DONE]` was received. Later bytes are ignored. */
    bool isComplete() const { return m_isComplete; }
    /** Makes feed() leave out events whose `id` is at most `id`, for a stream that goes on in a further answer. */
    void skipThrough(std::uint64_t id) { m_lastId = std::max(m_lastId.value_or(id), id); }
    /** Largest numeric `id` of an event that feed() returned or that skipThrough() set; nothing before the first. */
    std::optional<std::uint64_t> lastEventId() const { return m_lastId; }
    /** Numeric `id` of the first event that was received, also of one that was left out. */
    std::optional<std::uint64_t> firstEventId() const { return m_firstId; }
    /** False if the last event with data that feed() returned has no numeric `id`: no request can ask to go on behind it. */
    bool endsWithId() const { return m_endsWithId; }
    /** The bytes received of an event that is still incomplete. */
    std::string_view incompleteEvent() const { return m_pending; }
    /**
     * True if bytes of an incomplete event were received. A body that ends here was broken off, also if its framing says that
     * it is complete: the connection of a body without a length or chunks may end anywhere.
     */
    bool isInsideEvent() const { return m_pending.find_first_not_of("\r\n") != std::string::npos; }
    /** Number of events with data that feed() returned, not counting the end marker. */
    std::uint32_t eventCount() const { return m_eventCount; }
    /** Number of events that feed() returned and that are more than comments, which a stalled server may send as well. */
    std::uint32_t progressCount() const { return m_progressCount; }
    /** Memory of the events that feed() returned last and of the incomplete event, as far as it is more than any stream may hold. */
    std::size_t heldBytes() const;
    /** Frees the result of the last feed(), and what an earlier event needed. */
    void dropOutput();
    /** Frees the start of the incomplete event as well; nothing can be fed any more. */
    void dropAll();
    /** True if an incomplete event exceeds 1 MiB; the stream should then be abandoned. */
    bool isOversized() const { return m_pending.size() > maxEventBytes; }

private:
    static constexpr std::size_t maxEventBytes = 1 << 20;
    static constexpr std::size_t usualOutputBytes = 8192; // What one read completes. Only held while it is written.
    static constexpr std::size_t usualPendingBytes = 1024;

    bool processEvent(std::string_view event);
    bool isNewEvent(std::string_view event);

    EndMarker m_endMarker;
    std::optional<std::uint64_t> m_lastId; // Never decreases.
    std::optional<std::uint64_t> m_firstId;
    std::string m_output; // Result of the last feed().
    std::string m_pending; // Start of an incomplete event.
    bool m_hasId = false; // The event that is looked at.
    bool m_endsWithId = true;
    std::uint32_t m_eventCount = 0;
    std::uint32_t m_progressCount = 0;
    bool m_isComplete = false;
};

} // namespace HickoryHollow
