/** \file
 * How far one stream has reached its caller, over all attempts. What was read from a server has not been delivered: an attempt may end
 * between a read and its write. So each attempt reads with a scanner of its own, and the position moves only here, by a finished write.
 */
#pragma once

#include "net/Task.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace HickoryHollow {

class EventStreamScanner;
class ResponseWriter;

class DeliveredStream {
public:
    /** The writer outlives the stream. */
    explicit DeliveredStream(ResponseWriter& writer)
        : m_writer(writer)
    {
    }

    /** The caller has the events up to `id` from earlier requests. Call before the first attempt. */
    void takeUpAfter(std::uint64_t id) { m_position = id; }
    /** Id of the last event that the caller has, after which an attempt goes on; nothing if it has none. */
    std::optional<std::uint64_t> position() const { return m_position; }
    /** False if the last event that the caller has been sent has no id, so that no attempt can be told to go on behind it. */
    bool mayGoOn() const { return m_mayGoOn; }

    /** Takes bytes of an attempt's answer. Returns the events that they complete, without those that the caller has; valid until the next call. */
    std::string_view read(EventStreamScanner&, std::string_view bytes) const;
    /** Writes what read() returned last. Moves the position once the write has finished without an error. */
    Task<std::error_code> write(std::string_view events, const EventStreamScanner&);

private:
    ResponseWriter& m_writer;
    std::optional<std::uint64_t> m_position; // Never decreases.
    bool m_mayGoOn = true;
};

} // namespace HickoryHollow
