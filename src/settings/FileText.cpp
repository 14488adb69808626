#include "settings/FileText.h"

#include "base/Check.h"

#include <cerrno>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <system_error>

namespace HickoryHollow {

std::string readFileText(const std::string& path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        throw UserError(fmt::format("cannot open file {}: {}", path, std::generic_category().message(errno)));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace HickoryHollow
