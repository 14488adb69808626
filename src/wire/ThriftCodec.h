/** \file
 * Serializes Thrift structures with the compact protocol.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace HickoryHollow {

template <typename T>
std::string encodeThrift(const T& value)
{
    const auto buf = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buf);
    value.write(&protocol);
    return buf->getBufferAsString();
}

/** Returns nothing when the bytes are not a valid structure of type T. Bytes after the structure are ignored. */
template <typename T>
std::optional<T> decodeThrift(std::string_view bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    // With its default policy OBSERVE, TMemoryBuffer only reads the bytes, although it takes a non-const pointer.
    auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    const auto buf = std::make_shared<TMemoryBuffer>(start, static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buf);
    T value;
    try {
        value.read(&protocol);
    } catch (const apache::thrift::TException&) {
        return std::nullopt;
    }
    return value;
}

} // namespace HickoryHollow
