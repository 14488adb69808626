/** \file
 * Parses the JSON body with which a backend server announces itself.
 */
#pragma once

#include "membership/Announcement.h"

#include <string>
#include <string_view>
#include <variant>

namespace HickoryHollow {

/** Returns the announcement, or a message that names the first missing or invalid member. */
std::variant<Announcement, std::string> parseAnnouncement(std::string_view json);

} // namespace HickoryHollow
