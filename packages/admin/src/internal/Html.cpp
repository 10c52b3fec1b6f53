#include "internal/Html.h"

#include <utility>

namespace whinyard::admin {

namespace {

    std::string escaped(std::string_view text)
    {
        std::string result;
        result.reserve(text.size());
        for (const char character : text) {
            switch (character) {
            case '&':
                result += "&amp;";
                break;
            case '<':
                result += "&lt;";
                break;
            case '>':
                result += "&gt;";
                break;
            case '"':
                result += "&quot;";
                break;
            case '\'':
                result += "&#39;";
                break;
            default:
                result += character;
            }
        }
        return result;
    }

}

void Html::start(std::string_view tag, const Attributes& attributes)
{
    m_text += "<" + std::string(tag);
    for (const Attribute& attribute : attributes)
        m_text += " " + std::string(attribute.name) + "=\"" + escaped(attribute.value) + "\"";
    m_text += ">";
}

Html& Html::open(std::string_view tag, const Attributes& attributes)
{
    start(tag, attributes);
    m_open.emplace_back(tag);
    return *this;
}

Html& Html::close()
{
    m_text += "</" + m_open.back() + ">\n";
    m_open.pop_back();
    return *this;
}

Html& Html::text(std::string_view text)
{
    m_text += escaped(text);
    return *this;
}

Html& Html::element(std::string_view tag, std::string_view content, const Attributes& attributes)
{
    return open(tag, attributes).text(content).close();
}

Html& Html::single(std::string_view tag, const Attributes& attributes)
{
    start(tag, attributes);
    m_text += "\n";
    return *this;
}

std::string Html::take()
{
    return std::exchange(m_text, {});
}

}
