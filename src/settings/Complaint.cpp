#include "settings/Complaint.h"

#include <fmt/format.h>

namespace HickoryHollow {

std::string toString(const Complaint& complaint)
{
    auto text = fmt::format("{}:{}:", complaint.file, complaint.line);
    if (!complaint.section.empty())
        text += fmt::format(" [{}]", complaint.section);
    if (!complaint.key.empty())
        text += fmt::format(" {}:", complaint.key);
    return text + " " + complaint.message;
}

std::string toString(const Complaints& complaints)
{
    std::string text;
    for (const auto& it : complaints)
        text += toString(it) + "\n";
    return text;
}

} // namespace HickoryHollow
