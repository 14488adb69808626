#include "base/LogEvent.h"

#include <spdlog/spdlog.h>

namespace HickoryHollow {

void writeLog(LogEvent event, std::string_view text)
{
    spdlog::info("event={} {}", static_cast<int>(event), text);
}

} // namespace HickoryHollow
