// Addresses of calls on a stack, found without unwinding: that may allocate, lock, and fail where the stack is damaged.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace whinyard::crash::internal {

// A mapped part of the program or of a library that holds code.
struct CodeRange {
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
    std::uintptr_t base = 0; // Where its file is loaded.
    char name[32] = {}; // Of the file, without directories.
};

// Notes where code is mapped now. The program itself is named `program`. Not for signal handlers; all other functions are.
void noteCode(std::string_view program);

// Where the program is loaded.
std::uintptr_t programBase();

// Returns the range that holds `address`, or null.
const CodeRange* codeAt(std::uintptr_t address);

// Returns whether `address` follows a call, so that it may have been left on a stack as an address to return to.
bool followsCall(std::uintptr_t address);

}
