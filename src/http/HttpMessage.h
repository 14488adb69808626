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

/** True for the status of an interim response (1xx) that another one follows. Nobody asks for the change of protocol that 101 announces. */
constexpr bool isInterimStatus(unsigned status) { return status >= 100 && status < 200 && status != 101; }
/** True for a status that the answer to a request may have; HTTP has none above 599. */
constexpr bool isFinalStatus(unsigned status) { return status >= 200 && status <= 599; }

/** A response with a JSON body. */
HttpResponse jsonResponse(unsigned status, std::string body);

} // namespace HickoryHollow
