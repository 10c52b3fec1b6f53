// Writes HTML with every text and attribute value escaped, so that no page can forget it.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace whinyard::admin {

// An attribute with its value; an attribute that only has to be there gets an empty one.
struct Attribute {
    std::string_view name;
    std::string value;
};

using Attributes = std::vector<Attribute>;

class Html {
public:
    // Opens an element until the matching close().
    Html& open(std::string_view tag, const Attributes& attributes = {});

    // Closes the element opened last.
    Html& close();

    Html& text(std::string_view text);

    // Writes an element that holds only a text.
    Html& element(std::string_view tag, std::string_view content, const Attributes& attributes = {});

    // Writes an element without content or end, such as input.
    Html& single(std::string_view tag, const Attributes& attributes);

    // Returns what was written; every element must be closed.
    std::string take();

private:
    void start(std::string_view tag, const Attributes& attributes);

    std::string m_text;
    std::vector<std::string> m_open;
};

}
