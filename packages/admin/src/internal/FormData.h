// The fields of a submitted form (application/x-www-form-urlencoded).
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace whinyard::admin {

class FormData {
public:
    explicit FormData(std::string_view body);

    // Returns the first value of a field, or an empty string.
    std::string value(std::string_view name) const;

    // Returns every value of a field in the order of the form, empty ones left out.
    std::vector<std::string> values(std::string_view name) const;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

}
