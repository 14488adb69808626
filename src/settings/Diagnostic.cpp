#include "settings/Diagnostic.h"

#include <fmt/format.h>

namespace HickoryHollow {

std::string toString(const Diagnostic& diagnostic)
{
    auto text = fmt::format("{}:{}:", diagnostic.file, diagnostic.line);
    if (!diagnostic.section.empty())
        text += fmt::format(" [{}]", diagnostic.section);
    if (!diagnostic.key.empty())
        text += fmt::format(" {}:", diagnostic.key);
    return text + " " + diagnostic.message;
}

std::string toString(const Diagnostics& diagnostics)
{
    std::string text;
    for (const auto& it : diagnostics)
        text += toString(it) + "\n";
    return text;
}

} // namespace HickoryHollow
