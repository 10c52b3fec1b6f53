// Stacks for fibers, kept for reuse, each with a guard page below it.
//
// Mapping and unmapping a stack costs several system calls, so a duty keeps a bounded number of
// free ones. Only touched pages take memory.
#pragma once

#include <boost/fiber/protected_fixedsize_stack.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace whinyard::net::internal {

// The usable size of each fiber's stack.
inline constexpr std::size_t fiberStackBytes = 128 * 1024;

// A stack allocator in the sense of Boost.Context. Copies share one pool; a pool belongs to one
// thread.
class StackPool {
public:
    StackPool();

    boost::context::stack_context allocate();
    void deallocate(boost::context::stack_context& stack) noexcept;

private:
    static constexpr std::size_t maximumFree = 1'024;

    struct Shared {
        ~Shared();

        boost::fibers::protected_fixedsize_stack source { fiberStackBytes };
        std::vector<boost::context::stack_context> free;
    };

    std::shared_ptr<Shared> m_shared;
};

}
