#include "settings/IniDocument.h"

#include <algorithm>
#include <cstring>
#include <fmt/format.h>
#include <ini.h>

namespace HickoryHollow {

namespace {

// libinih reads lines into a buffer of 200 bytes and parses the rest of a longer line as a separate line.
constexpr std::size_t maxLineLength = 198;

struct ParseState {
    std::string_view rest; // Text that is not read yet.
    unsigned line = 0; // Number of lines read.
    IniDocument document;
    Diagnostics& diagnostics;
};

// Line source for ini_parse_stream(). libinih calls addEntry() right after it reads the entry's line, so the number of lines
// read is the line number of the entry. A line that is too long is replaced by an empty one.
char* readLine(char* buf, int size, void* stream)
{
    auto& state = *static_cast<ParseState*>(stream);
    if (state.rest.empty() || size < 2)
        return nullptr;
    const auto end = state.rest.find('\n');
    const auto line = state.rest.substr(0, end);
    state.rest.remove_prefix(end == std::string_view::npos ? state.rest.size() : end + 1);
    ++state.line;
    auto n = std::min(line.size(), static_cast<std::size_t>(size) - 1);
    if (line.size() > maxLineLength) {
        state.diagnostics.push_back({ .file = state.document.file, .line = state.line, .section = {}, .key = {}, .message = fmt::format("the line has {} characters; the limit is {}", line.size(), maxLineLength) });
        n = 0;
    }
    std::memcpy(buf, line.data(), n);
    buf[n] = '\0';
    return buf;
}

IniSection& findOrAddSection(ParseState& state, const char* name)
{
    auto& sections = state.document.sections;
    const auto it = std::find_if(sections.begin(), sections.end(), [name](const auto& section) { return section.name == name; });
    if (it != sections.end())
        return *it;
    sections.push_back({ .name = name, .line = state.line, .entries = {} });
    return sections.back();
}

int addEntry(void* user, const char* sectionName, const char* key, const char* value)
{
    auto& state = *static_cast<ParseState*>(user);
    auto& section = findOrAddSection(state, sectionName);
    const auto isDuplicate = std::any_of(section.entries.begin(), section.entries.end(), [key](const auto& entry) { return entry.key == key; });
    if (isDuplicate)
        state.diagnostics.push_back({ .file = state.document.file, .line = state.line, .section = sectionName, .key = key, .message = "the key is given twice; keep one" });
    section.entries.push_back({ .key = key, .value = value, .line = state.line });
    return 1;
}

} // namespace

IniDocument parseIni(std::string file, std::string_view text, Diagnostics& diagnostics)
{
    ParseState state { .rest = text, .line = 0, .document = { .file = std::move(file), .sections = {} }, .diagnostics = diagnostics };
    const auto firstInvalidLine = ini_parse_stream(readLine, &state, addEntry, &state);
    if (firstInvalidLine > 0)
        diagnostics.push_back({ .file = state.document.file, .line = static_cast<unsigned>(firstInvalidLine), .section = {}, .key = {}, .message = "the line is neither `[section]` nor `key = value`" });
    return std::move(state.document);
}

} // namespace HickoryHollow
