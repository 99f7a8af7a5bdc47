#pragma once

#include <boost/context/fiber.hpp>

#include <functional>

namespace poplardrift
{

/// A function that can be suspended and resumed on the same thread (a stackful coroutine). Splits a
/// blocking HTTP exchange to match the HTTP library, which sets the status in the handler and
/// writes the body afterwards. A pause takes a few nanoseconds. The stack is reused by the thread's
/// next task.
class resumable_task final
{
public:
    /// Suspends the task and returns control to the caller of `resume`.
    using pause_function = std::function<void()>;
    using body_function = std::function<void(const pause_function& pause)>;

    explicit resumable_task(body_function body);
    ~resumable_task();
    resumable_task(const resumable_task&) = delete;
    auto operator=(const resumable_task&) -> resumable_task& = delete;

    /// Runs the task until its next pause or its end. Must be called on the thread that first
    /// resumed it.
    auto resume() -> void;
    [[nodiscard]] auto is_done() const -> bool { return this->done; }

private:
    body_function body;
    boost::context::fiber task_fiber;
    boost::context::fiber caller_fiber;
    bool done = false;
};

} // namespace poplardrift
