/** \file
 * Header fields that no head may hold, in an answer as in a request: one row for each way in which a field may be broken.
 */
#pragma once

#include <string>
#include <vector>

namespace HickoryHollow::Fakes {

struct BrokenField {
    const char* what;
    std::string line; ///< Without its end.
};

inline std::vector<BrokenField> brokenFields()
{
    using namespace std::string_literals;
    return {
        { "blank in the name", "Na me: x" },
        { "tab in the name", "Na\tme: x" },
        { "control byte in the name", "Na\x01me: x" },
        { "zero in the name", "Na\0me: x"s },
        { "DEL in the name", "Na\x7fme: x" },
        { "byte above 127 in the name", "Na\xc3\xa9me: x" },
        { "no name", ": x" },
        { "no colon", "Name" },
        { "blank before the colon", "Name : x" },
        { "tab before the colon", "Name\t: x" },
        { "control byte before the colon", "Name\x02: x" },
        { "zero in the value", "Name: a\0b"s },
        { "control byte in the value", "Name: a\x01"s + "b" },
        { "DEL in the value", "Name: a\x7f"s + "b" },
        { "bare CR in the value", "Name: a\rb" },
        { "two lengths", "Content-Length: 4\r\nContent-Length: 5" },
    };
}

} // namespace HickoryHollow::Fakes
