#include "internal/StackTrace.h"

#include <link.h>

#include <algorithm>
#include <array>

namespace whinyard::crash::internal {

namespace {

    std::array<CodeRange, 64> ranges; // The program's come first.
    std::size_t rangeCount = 0;

    void copyName(CodeRange& range, std::string_view path)
    {
        const std::string_view name = path.substr(path.rfind('/') + 1);
        std::copy_n(name.begin(), std::min(name.size(), sizeof(range.name) - 1), range.name);
    }

    int noteObject(dl_phdr_info* object, std::size_t, void* program)
    {
        const bool isProgram = rangeCount == 0;
        for (int i = 0; i < object->dlpi_phnum && rangeCount < ranges.size(); ++i) {
            const ElfW(Phdr)& part = object->dlpi_phdr[i];
            if (part.p_type != PT_LOAD || (part.p_flags & PF_X) == 0)
                continue;
            CodeRange& range = ranges[rangeCount++];
            range = { .begin = object->dlpi_addr + part.p_vaddr, .end = object->dlpi_addr + part.p_vaddr + part.p_memsz, .base = object->dlpi_addr };
            copyName(range, isProgram ? *static_cast<const std::string_view*>(program) : std::string_view(object->dlpi_name));
        }
        return 0;
    }

}

void noteCode(std::string_view program)
{
    rangeCount = 0;
    dl_iterate_phdr(&noteObject, &program);
}

std::uintptr_t programBase()
{
    return ranges.front().base;
}

const CodeRange* codeAt(std::uintptr_t address)
{
    const auto* end = ranges.cbegin() + rangeCount;
    const auto* found = std::find_if(ranges.cbegin(), end, [&](const CodeRange& range) { return address >= range.begin && address < range.end; });
    return found == end ? nullptr : found;
}

bool followsCall(std::uintptr_t address)
{
    constexpr std::uintptr_t longestCall = 7;
    const CodeRange* range = codeAt(address);
    if (!range || address - range->begin < longestCall)
        return false;
#if defined(__x86_64__)
    const auto* next = reinterpret_cast<const unsigned char*>(address); // NOLINT(performance-no-int-to-ptr)
    if (next[-5] == 0xe8)
        return true;
    // An indirect call has the opcode 0xff and 2 in the middle of its second byte.
    for (const std::ptrdiff_t length : { 2, 3, 4, 6, 7 }) {
        if (next[-length] == 0xff && (next[1 - length] & 0x38) == 0x10)
            return true;
    }
    return false;
#else
    return true;
#endif
}

}
