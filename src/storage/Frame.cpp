#include "storage/Frame.h"

#include <cstdint>
#include <cstring>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr std::uint32_t frameMagic = 0x48484a31; // The characters "HHJ1", first one in the highest byte.

/** Precedes each payload, in the byte order of the host. */
struct Header {
    std::uint32_t magic;
    std::uint32_t length; // Size of the payload in bytes.
    std::uint64_t checksum; // Covers the length and the payload; see checksumOf.
};

/** XXH64 of the payload, seeded with its length, so that a changed length is detected as well. */
std::uint64_t checksumOf(std::string_view payload)
{
    return XXH64(payload.data(), payload.size(), payload.size());
}

} // namespace

std::size_t frameSize(std::size_t payloadSize)
{
    return sizeof(Header) + payloadSize;
}

std::string makeFrame(std::string_view payload)
{
    const Header header { .magic = frameMagic, .length = static_cast<std::uint32_t>(payload.size()), .checksum = checksumOf(payload) };
    std::string frame(sizeof(Header), '\0');
    std::memcpy(frame.data(), &header, sizeof(Header));
    frame.append(payload);
    return frame;
}

std::optional<std::string_view> readFrame(std::string_view bytes)
{
    Header header {};
    if (bytes.size() < sizeof(Header))
        return std::nullopt;
    std::memcpy(&header, bytes.data(), sizeof(Header));
    if (header.magic != frameMagic || header.length > bytes.size() - sizeof(Header))
        return std::nullopt;
    const auto payload = bytes.substr(sizeof(Header), header.length);
    if (checksumOf(payload) != header.checksum)
        return std::nullopt;
    return payload;
}

bool containsFrame(std::string_view bytes)
{
    const std::string_view pattern(reinterpret_cast<const char*>(&frameMagic), sizeof(frameMagic));
    for (auto at = bytes.find(pattern); at != std::string_view::npos; at = bytes.find(pattern, at + 1)) {
        if (readFrame(bytes.substr(at)))
            return true;
    }
    return false;
}

} // namespace HickoryHollow
