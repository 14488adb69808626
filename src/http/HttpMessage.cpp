#include "http/HttpMessage.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace HickoryHollow {

std::string_view HttpFields::find(std::string_view name) const
{
    const auto it = std::find_if(m_fields.begin(), m_fields.end(), [name](const auto& field) { return boost::beast::iequals(field.name, name); });
    return it == m_fields.end() ? std::string_view {} : std::string_view(it->value);
}

std::size_t HttpFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(m_fields.begin(), m_fields.end(), [name](const auto& field) { return boost::beast::iequals(field.name, name); }));
}

HttpResponse jsonResponse(unsigned status, std::string body)
{
    return { .status = status, .fields = { { .name = "Content-Type", .value = "application/json" } }, .body = std::move(body) };
}

} // namespace HickoryHollow
