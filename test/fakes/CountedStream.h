/** \file
 * A stream of numbered events for tests, and servers that write it from where they are asked to.
 */
#pragma once

#include "test/fakes/FakeUpstream.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace HickoryHollow::Fakes {

/** The events `first` to `last`, each with its number as its id. */
inline std::string countedEvents(std::uint64_t first, std::uint64_t last, const std::string& version = "")
{
    std::string text;
    for (auto i = first; i <= last; ++i)
        text += "id: " + std::to_string(i) + "\ndata: " + version + "piece " + std::to_string(i) + "\n\n";
    return text;
}

/** Number of the event after which a request asks to go on; 0 if it asks for the whole stream. */
inline std::uint64_t askedAfter(const HttpRequest& request)
{
    const auto text = std::string(request.fields.find("Last-Event-Id"));
    return text.empty() ? 0 : std::stoull(text);
}

/** A server that writes what is asked for of the events 1 to `last`, in one piece. */
inline Script countedStream(Script script, std::uint64_t last)
{
    script.contentType = "text/event-stream";
    script.answerTo = [last](const HttpRequest& request, Script& self) { self.chunks = { countedEvents(askedAfter(request) + 1, last) }; };
    return script;
}

} // namespace HickoryHollow::Fakes
