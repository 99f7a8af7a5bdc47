#pragma once

#include <boost/context/fiber.hpp>

#include <functional>

namespace poplardrift
{

/// A function that can pause midway and be resumed by the same thread. Lets one blocking HTTP
/// exchange be split where the HTTP library wants it: the status is fixed in the handler, the body
/// is written afterwards. A pause costs a few nanoseconds; the stack is kept for the next task of
/// the thread.
class resumable_task final
{
public:
    /// Gives control back to the one that started or resumed the task.
    using pause_function = std::function<void()>;
    using body_function = std::function<void(const pause_function& pause)>;

    explicit resumable_task(body_function body);
    ~resumable_task();
    resumable_task(const resumable_task&) = delete;
    auto operator=(const resumable_task&) -> resumable_task& = delete;

    /// Runs until the next pause or the end. Always from the thread that ran it first.
    auto resume() -> void;
    [[nodiscard]] auto is_done() const -> bool { return this->done; }

private:
    body_function body;
    boost::context::fiber task_fiber;
    boost::context::fiber caller_fiber;
    bool done = false;
};

} // namespace poplardrift
