#include "internal/StackPool.h"

namespace whinyard::net::internal {

StackPool::Shared::~Shared()
{
    for (auto& stack : free)
        source.deallocate(stack);
}

StackPool::StackPool()
    : m_shared(std::make_shared<Shared>())
{
    m_shared->free.reserve(maximumFree);
}

boost::context::stack_context StackPool::allocate()
{
    if (m_shared->free.empty())
        return m_shared->source.allocate();
    const auto stack = m_shared->free.back();
    m_shared->free.pop_back();
    return stack;
}

void StackPool::deallocate(boost::context::stack_context& stack) noexcept
{
    if (m_shared->free.size() < maximumFree)
        m_shared->free.push_back(stack);
    else
        m_shared->source.deallocate(stack);
}

}
