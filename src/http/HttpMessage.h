/** \file
 * HTTP requests and responses as plain data that does not depend on the HTTP library.
 */
#pragma once

#include "base/Time.h"
#include "http/RequestBody.h"

#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

struct HttpField {
    std::string name;
    std::string value;
};

/** Header fields in their order. Names compare without regard to case and may occur several times. */
class HttpFields {
public:
    HttpFields() = default;
    HttpFields(std::initializer_list<HttpField> fields)
        : m_fields(fields)
    {
    }

    void add(std::string name, std::string value) { m_fields.push_back({ .name = std::move(name), .value = std::move(value) }); }
    /** Value of the first field with this name; empty if there is none. */
    std::string_view find(std::string_view name) const;
    /** Number of fields with this name. */
    std::size_t count(std::string_view name) const;
    const std::vector<HttpField>& all() const { return m_fields; }

private:
    std::vector<HttpField> m_fields;
};

struct HttpRequest {
    std::string method;
    std::string target;
    HttpFields fields;
    RequestBody body;
    TimePoint receivedAt {}; ///< When its header had arrived, from which its caller's time limit counts; not set for own requests.

    /** The target without its query. */
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

struct HttpResponse {
    unsigned status = 200;
    HttpFields fields;
    std::string body;
};

/** A response with a JSON body. */
HttpResponse jsonResponse(unsigned status, std::string body);

} // namespace HickoryHollow
