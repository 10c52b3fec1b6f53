#include "internal/FiberWait.h"
#include "whinyard/net/Duty.h"

#include <boost/asio.hpp>

#include <future>
#include <memory>

namespace whinyard::net {

namespace asio = boost::asio;

namespace {

    // Tells the waiting side once: that the function ran, or, by its destruction, that it never will.
    class Completion {
    public:
        explicit Completion(std::function<void(bool)> notify)
            : m_notify(std::move(notify))
        {
        }
        Completion(const Completion&) = delete;
        Completion& operator=(const Completion&) = delete;
        ~Completion() { tell(false); }

        void tell(bool ran)
        {
            if (m_notify)
                std::exchange(m_notify, nullptr)(ran);
        }

    private:
        std::function<void(bool)> m_notify;
    };

    bool handOver(Duty& target, const std::function<void()>& function, std::function<void(bool)> notify)
    {
        auto completion = std::make_shared<Completion>(std::move(notify));
        return target.post([&function, completion = std::move(completion)] {
            function();
            completion->tell(true);
        });
    }

    bool runFromFiber(Duty& origin, Duty& target, const std::function<void()>& function)
    {
        struct Outcome {
            internal::FiberWait wait;
            bool ran = false;
        };
        const auto outcome = std::make_shared<Outcome>();
        asio::io_context& loop = origin.loop();
        handOver(target, function, [&loop, outcome](bool ran) {
            asio::post(loop, [outcome, ran] {
                outcome->ran = ran;
                outcome->wait.wake();
            });
        });
        outcome->wait.suspend();
        return outcome->ran;
    }

    bool runFromPlainThread(Duty& target, const std::function<void()>& function)
    {
        const auto outcome = std::make_shared<std::promise<bool>>();
        auto ran = outcome->get_future();
        handOver(target, function, [outcome](bool value) { outcome->set_value(value); });
        return ran.get();
    }

}

bool runOn(Duty& target, const std::function<void()>& function)
{
    Duty* origin = Duty::current();
    if (!origin)
        return runFromPlainThread(target, function);
    if (origin == &target) {
        function();
        return true;
    }
    return runFromFiber(*origin, target, function);
}

}
