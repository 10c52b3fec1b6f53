// HTTP/1.1 requests and responses as plain aggregates, free of the transport library.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace whinyard::net {

// A header field; names compare without regard to case.
struct HttpField {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/"; // Path with query.
    std::vector<HttpField> fields;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    std::vector<HttpField> fields;
    std::string body;
};

// Returns the value of the first field with this name, or an empty string.
std::string_view fieldValue(const std::vector<HttpField>& fields, std::string_view name);

// Returns the path of a target without its query.
std::string_view pathOf(std::string_view target);

// Returns the decoded value of a query parameter, or an empty string.
std::string queryValue(std::string_view target, std::string_view name);

}
