#include "json/JsonSyntax.h"

#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <limits>

namespace HickoryHollow {

namespace {

/** Accepts every JSON document and keeps nothing of it. */
struct JsonSyntax {
    using Text = boost::json::string_view;
    using Error = boost::json::error_code;

    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max(); // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max(); // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max(); // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max(); // NOLINT(readability-identifier-naming)

    // The parser calls these by their names.
    // NOLINTBEGIN(readability-identifier-naming)
    bool on_document_begin(Error&) { return true; }
    bool on_document_end(Error&) { return true; }
    bool on_object_begin(Error&) { return true; }
    bool on_object_end(std::size_t, Error&) { return true; }
    bool on_array_begin(Error&) { return true; }
    bool on_array_end(std::size_t, Error&) { return true; }
    bool on_key_part(Text, std::size_t, Error&) { return true; }
    bool on_key(Text, std::size_t, Error&) { return true; }
    bool on_string_part(Text, std::size_t, Error&) { return true; }
    bool on_string(Text, std::size_t, Error&) { return true; }
    bool on_number_part(Text, Error&) { return true; }
    bool on_int64(std::int64_t, Text, Error&) { return true; }
    bool on_uint64(std::uint64_t, Text, Error&) { return true; }
    bool on_double(double, Text, Error&) { return true; }
    bool on_bool(bool, Error&) { return true; }
    bool on_null(Error&) { return true; }
    bool on_comment_part(Text, Error&) { return true; }
    bool on_comment(Text, Error&) { return true; }
    // NOLINTEND(readability-identifier-naming)
};

} // namespace

bool isJson(std::string_view text)
{
    boost::json::error_code ec;
    boost::json::basic_parser<JsonSyntax> parser { boost::json::parse_options() };
    const auto n = parser.write_some(false, text.data(), text.size(), ec);
    return !ec && n == text.size();
}

} // namespace HickoryHollow
