/** \file
 * The JSON form of an announcement of a backend server.
 */
#pragma once

#include "membership/Announcement.h"

#include <string>
#include <string_view>
#include <variant>

namespace HickoryHollow {

/** The announcement, or what is wrong with the text. */
std::variant<Announcement, std::string> parseAnnouncement(std::string_view json);

} // namespace HickoryHollow
