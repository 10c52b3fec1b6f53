#include "whinyard/net/Duty.h"

#include "internal/FiberWait.h"
#include "internal/ReadyCount.h"
#include "internal/StackPool.h"
#include "whinyard/base/CrashReport.h"

#include <boost/asio.hpp>
#include <boost/circular_buffer.hpp>
#include <boost/fiber/all.hpp>
#include <pthread.h>

#include <atomic>
#include <cassert>
#include <future>
#include <mutex>
#include <thread>

namespace whinyard::net {

namespace asio = boost::asio;

namespace {

    // How many rounds of ready fibers run before the loop looks at its sockets again.
    constexpr int roundsBeforePoll = 4;

    // How many rounds fibers have to end when the duty stops.
    constexpr int roundsAtStop = 64;

    constexpr std::size_t maximumThreadName = 15;

    thread_local Duty* currentDuty = nullptr;

}

struct Duty::State {
    State(std::string dutyName, std::size_t capacity)
        : name(std::move(dutyName))
        , ring(capacity)
    {
    }

    void run();
    void runReadyFibers();
    void drainRing();
    void start(Task task);

    const std::string name;
    asio::io_context loop { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { loop.get_executor() };
    std::thread thread;
    std::atomic<bool> stopping { false };
    std::promise<void> parked; // Set when the thread runs no more code but can't be joined.
    std::size_t fibers = 0; // Started and not finished; only touched on the thread while it runs.
    internal::StackPool stacks;

    std::mutex mutex; // Guards the ring and what follows.
    boost::circular_buffer<Task> ring;
    bool closed = false;
    bool drainScheduled = false;
};

void Duty::State::start(Task task)
{
    ++fibers;
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, stacks, [this, task = std::move(task)]() mutable {
        task();
        task = nullptr;
        --fibers;
    }).detach();
}

void Duty::State::drainRing()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(mutex);
        drainScheduled = false;
        tasks.assign(std::make_move_iterator(ring.begin()), std::make_move_iterator(ring.end()));
        ring.clear();
    }
    for (auto& task : tasks)
        start(std::move(task));
}

void Duty::State::runReadyFibers()
{
    for (int round = 0; round < roundsBeforePoll && boost::fibers::has_ready_fibers(); ++round)
        boost::this_fiber::yield();
}

void Duty::State::run()
{
    while (!stopping) {
        if (!boost::fibers::has_ready_fibers())
            loop.run_one();
        loop.poll();
        runReadyFibers();
    }
    // Fibers whose sockets were closed just now still have to learn of it.
    for (int round = 0; round < roundsAtStop && fibers > 0; ++round) {
        loop.poll();
        runReadyFibers();
    }
}

Duty::Duty(std::string name, std::size_t capacity)
    : m_state(std::make_unique<State>(std::move(name), capacity))
{
    m_state->thread = std::thread([this, state = m_state.get()] {
        pthread_setname_np(pthread_self(), state->name.substr(0, maximumThreadName).c_str());
        const crash::SignalStack signals(state->name);
        currentDuty = this;
        boost::fibers::use_scheduling_algorithm<internal::ReadyCount>();
        state->run();
        currentDuty = nullptr;
        // A fiber that still waits would keep Boost.Fiber's scheduler from ending, and unwinding it would
        // run destructors of objects whose owners are gone. So its thread stays parked.
        if (state->fibers > 0) {
            state->parked.set_value();
            for (;;)
                pause();
        }
        state->parked.set_value();
    });
}

Duty::~Duty()
{
    stop();
    if (m_state->fibers > 0)
        static_cast<void>(m_state.release()); // The abandoned fibers' stacks and sockets stay as they are.
}

const std::string& Duty::name() const
{
    return m_state->name;
}

bool Duty::post(Task task)
{
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->closed || m_state->ring.full())
            return false;
        m_state->ring.push_back(std::move(task));
        if (std::exchange(m_state->drainScheduled, true))
            return true;
    }
    asio::post(m_state->loop, [state = m_state.get()] { state->drainRing(); });
    return true;
}

void Duty::spawn(Task task)
{
    assert(isCurrent());
    m_state->start(std::move(task));
}

bool Duty::isCurrent() const
{
    return currentDuty == this;
}

Duty* Duty::current()
{
    return currentDuty;
}

void Duty::stop()
{
    if (!m_state->thread.joinable())
        return;
    assert(!isCurrent());
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->closed = true;
    }
    m_state->stopping = true;
    asio::post(m_state->loop, [] {});
    m_state->parked.get_future().wait();
    if (m_state->fibers == 0)
        m_state->thread.join();
    else
        m_state->thread.detach();
    // Waiting callers of runOn() learn from the destruction of their task that it never runs.
    decltype(m_state->ring) dropped;
    const std::lock_guard lock(m_state->mutex);
    dropped.swap(m_state->ring);
}

asio::io_context& Duty::loop()
{
    return m_state->loop;
}

}
