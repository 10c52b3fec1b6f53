// The part of JsonObject that reads lists of numbers.
#include "whinyard/settings/JsonReader.h"

namespace whinyard::settings {

bool JsonObject::numbers(std::string_view key, std::vector<double>& target, Range<double> range)
{
    if (!has(key) || !m_value.at(std::string(key)).is_array())
        return false;
    const nlohmann::json& list = *find(key, Presence::optional);
    if (list.empty())
        fault(key, "found an empty list; allowed: at least one number");
    nlohmann::json members = nlohmann::json::object(); // The same by index, so that each fault names its element.
    for (const nlohmann::json& element : list)
        members[std::to_string(members.size())] = element;
    JsonObject elements(members, pathOf(key), m_faults);
    target.assign(list.size(), 0);
    for (std::size_t i = 0; i < target.size(); ++i)
        elements.number(std::to_string(i), target[i], Presence::required, range);
    return true;
}

}
