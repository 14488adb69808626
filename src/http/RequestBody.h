/** \file
 * The body of a request. It is written once; all copies share its bytes, so that a process holds each body a single time from the
 * caller's socket to the server's.
 */
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace HickoryHollow {

class RequestBody {
public:
    RequestBody() = default;
    RequestBody(std::string text) // NOLINT(google-explicit-constructor)
        : RequestBody(std::move(text), nullptr)
    {
    }
    RequestBody(const char* text) // NOLINT(google-explicit-constructor)
        : RequestBody(std::string(text))
    {
    }
    /** `room` is the memory that was set aside for the body; it is released together with the last copy. */
    RequestBody(std::string text, std::shared_ptr<const void> room)
        : m_held(std::make_shared<const Held>(Held { .text = std::move(text), .room = std::move(room) }))
    {
    }

    /** Valid as long as any copy of the body. */
    std::string_view text() const { return m_held ? std::string_view(m_held->text) : std::string_view {}; }
    operator std::string_view() const { return text(); } // NOLINT(google-explicit-constructor)
    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }

    friend bool operator==(const RequestBody& body, std::string_view text) { return body.text() == text; }

private:
    struct Held {
        std::string text;
        std::shared_ptr<const void> room;
    };

    std::shared_ptr<const Held> m_held; // Null for an empty body.
};

} // namespace HickoryHollow
