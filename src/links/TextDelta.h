/** \file
 * The difference between two texts, for sending a large text to a peer that holds an earlier version of it.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

/** Builds a text from parts of a base text and literal bytes. */
struct TextDelta {
    /** A range of the base text, followed by literal bytes. */
    struct Part {
        std::size_t start = 0; ///< Offset in the base text, in bytes.
        std::size_t length = 0; ///< Bytes to copy; may be 0.
        std::string text; ///< Literal bytes; may be empty.
    };

    std::vector<Part> parts;
    std::uint64_t digest = 0; ///< Hash of the resulting text, which apply() verifies.
};

/**
 * Returns a delta with which apply() makes `target` from `base`. Its size is proportional to the changed bytes if the
 * changes are few. Takes time proportional to the sizes of both texts.
 */
TextDelta makeDelta(std::string_view base, std::string_view target);
/** Returns the resulting text; nothing if the delta was made from another base or is damaged. */
std::optional<std::string> applyDelta(std::string_view base, const TextDelta&);

} // namespace HickoryHollow
