// Changes what a socket reads before its reader gets it.
#pragma once

#include <boost/system/error_code.hpp>

#include <cstddef>

namespace whinyard::net::internal {

class ReadFilter {
public:
    virtual ~ReadFilter() = default;

    // Changes the `size` bytes that were read, and the error of that read, in place. Returns how many bytes are left for the reader.
    virtual std::size_t filter(char* bytes, std::size_t size, boost::system::error_code& error) = 0;

    // Returns whether nothing more is to be read, with the error that tells the reader so.
    virtual bool isAtEnd(boost::system::error_code& error) const = 0;
};

}
