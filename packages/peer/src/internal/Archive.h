// Cereal archives over bytes in memory, and wrappers for text and lists that check every length
// against a bound and against the bytes that are left before anything is allocated.
//
// Cereal's own headers for strings and vectors are left out on purpose: they resize to whatever
// length a message states. A type that needs them doesn't compile here.
#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace whinyard::peer::internal {

// Thrown within the codec when a value is out of its range; it never leaves the codec.
struct MalformedMessage { };

// A stream buffer that reads from bytes owned by others.
class InputBuffer final : public std::streambuf {
public:
    explicit InputBuffer(std::string_view bytes)
    {
        char* begin = const_cast<char*>(bytes.data()); // Only ever read.
        setg(begin, begin, begin + bytes.size());
    }

    std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

// A stream buffer that appends to a string.
class OutputBuffer final : public std::streambuf {
public:
    const std::string& bytes() const { return m_bytes; }
    std::string take() { return std::move(m_bytes); }

protected:
    std::streamsize xsputn(const char* data, std::streamsize size) override
    {
        m_bytes.append(data, static_cast<std::size_t>(size));
        return size;
    }

    int_type overflow(int_type value) override
    {
        m_bytes.push_back(traits_type::to_char_type(value));
        return value;
    }

private:
    std::string m_bytes;
};

// Reads a message. Cereal's archive for portable binary, with a look at what is left.
class Reader {
public:
    explicit Reader(std::string_view bytes)
        : m_buffer(checked(bytes))
        , m_stream(&m_buffer)
        , m_archive(m_stream, cereal::PortableBinaryInputArchive::Options::LittleEndian())
    {
    }

    static constexpr bool isReader = true;

    template <typename... Types>
    void operator()(Types&&... values)
    {
        (one(values), ...);
    }

    std::size_t left() const { return m_buffer.left(); }
    // The cast matters: for a variable cereal takes the pointer itself for the element and swaps eight bytes at a time.
    void bytes(char* target, std::size_t size) { m_archive(cereal::binary_data(static_cast<char*>(target), size)); }

private:
    // Every message is written with this mark of the byte order; nothing else is read on.
    static constexpr char littleEndianMark = 1;

    static std::string_view checked(std::string_view bytes)
    {
        if (bytes.empty() || bytes.front() != littleEndianMark)
            throw MalformedMessage {};
        return bytes;
    }

    template <typename Type>
    void one(Type& value)
    {
        if constexpr (std::is_arithmetic_v<Type>)
            m_archive(value);
        else
            serialize(*this, value);
    }

    InputBuffer m_buffer;
    std::istream m_stream;
    cereal::PortableBinaryInputArchive m_archive;
};

// Writes a message.
class Writer {
public:
    Writer()
        : m_stream(&m_buffer)
        , m_archive(m_stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian())
    {
    }

    static constexpr bool isReader = false;

    template <typename... Types>
    void operator()(Types&&... values)
    {
        (one(values), ...);
    }

    void bytes(const char* source, std::size_t size) { m_archive(cereal::binary_data(static_cast<const char*>(source), size)); }
    const std::string& written() const { return m_buffer.bytes(); }
    std::string take() { return m_buffer.take(); }

private:
    template <typename Type>
    void one(Type& value)
    {
        if constexpr (std::is_arithmetic_v<std::remove_cv_t<Type>>)
            m_archive(value);
        else
            serialize(*this, const_cast<std::remove_cv_t<Type>&>(value)); // The writer's functions don't change values.
    }

    OutputBuffer m_buffer;
    std::ostream m_stream;
    cereal::PortableBinaryOutputArchive m_archive;
};

// Text with a bound; its length takes as many bytes as `Length`.
template <typename Length>
struct Text {
    std::string& value;
    std::size_t limit;
};

inline Text<std::uint8_t> shortText(std::string& value, std::size_t limit = 255) { return { value, limit }; }
inline Text<std::uint32_t> longText(std::string& value, std::size_t limit) { return { value, limit }; }

template <typename Archive, typename Length>
void serialize(Archive& archive, Text<Length>& text)
{
    if constexpr (Archive::isReader) {
        Length length = 0;
        archive(length);
        if (length > text.limit || length > archive.left())
            throw MalformedMessage {};
        text.value.resize(length);
        archive.bytes(text.value.data(), length);
    } else {
        if (text.value.size() > text.limit)
            throw MalformedMessage {};
        Length length = static_cast<Length>(text.value.size());
        archive(length);
        archive.bytes(text.value.data(), text.value.size());
    }
}

// A list with a bound. `leastBytes` is what one element takes at least.
template <typename Element>
struct List {
    std::vector<Element>& values;
    std::size_t limit;
    std::size_t leastBytes;
};

template <typename Element>
List<Element> list(std::vector<Element>& values, std::size_t limit, std::size_t leastBytes = 1)
{
    return { values, limit, leastBytes };
}

template <typename Archive, typename Element>
void serialize(Archive& archive, List<Element>& list)
{
    std::uint32_t count = static_cast<std::uint32_t>(list.values.size());
    if constexpr (!Archive::isReader) {
        if (list.values.size() > list.limit)
            throw MalformedMessage {};
    }
    archive(count);
    if constexpr (Archive::isReader) {
        if (count > list.limit || count > archive.left() / list.leastBytes)
            throw MalformedMessage {};
        list.values.clear();
        list.values.resize(count);
    }
    for (Element& element : list.values)
        archive(element);
}

// An enumeration whose values run from 0 to `last`.
template <typename Enum>
struct Choice {
    Enum& value;
    Enum last;
};

template <typename Enum>
Choice<Enum> choice(Enum& value, Enum last) { return { value, last }; }

template <typename Archive, typename Enum>
void serialize(Archive& archive, Choice<Enum>& choice)
{
    std::uint8_t number = static_cast<std::uint8_t>(choice.value);
    archive(number);
    if (number > static_cast<std::uint8_t>(choice.last))
        throw MalformedMessage {};
    choice.value = static_cast<Enum>(number);
}

// A truth value; anything but 0 and 1 is refused.
struct Flag {
    bool& value;
};

template <typename Archive>
void serialize(Archive& archive, Flag& flag)
{
    std::uint8_t number = flag.value ? 1 : 0;
    archive(number);
    if (number > 1)
        throw MalformedMessage {};
    flag.value = number == 1;
}

}
