#include "net/resumable_task.hpp"

#include "poplardrift/base/assert.hpp"

#include <boost/context/fixedsize_stack.hpp>

#include <vector>

namespace poplardrift
{

namespace
{

/// Stack size for one HTTP exchange; untouched pages use no physical memory.
constexpr std::size_t stack_bytes = 256 * 1024;

/// Per-thread cache of stacks released by finished tasks.
class stack_cache final
{
public:
    ~stack_cache()
    {
        boost::context::fixedsize_stack source(stack_bytes);
        for (auto& stack : this->free)
        {
            source.deallocate(stack);
        }
    }

    auto take() -> boost::context::stack_context
    {
        if (this->free.empty())
        {
            return boost::context::fixedsize_stack(stack_bytes).allocate();
        }
        const auto stack = this->free.back();
        this->free.pop_back();
        return stack;
    }

    auto put(const boost::context::stack_context& stack) -> void { this->free.push_back(stack); }

private:
    std::vector<boost::context::stack_context> free;
};

thread_local stack_cache cached_stacks;

/// Stack allocator for Boost.Context that uses the thread's stack cache.
struct cached_stack_allocator
{
    auto allocate() -> boost::context::stack_context { return cached_stacks.take(); }
    auto deallocate(boost::context::stack_context& stack) -> void { cached_stacks.put(stack); }
};

} // namespace

resumable_task::resumable_task(body_function body) : body(std::move(body))
{
    this->task_fiber = boost::context::fiber(
        std::allocator_arg, cached_stack_allocator{},
        [this](boost::context::fiber&& caller)
        {
            this->caller_fiber = std::move(caller);
            this->body([this] { this->caller_fiber = std::move(this->caller_fiber).resume(); });
            this->done = true;
            return std::move(this->caller_fiber);
        });
}

resumable_task::~resumable_task()
{
    // An unfinished task is run to completion. Its owner has already signaled to it that its output
    // is no longer needed.
    while (!this->done)
    {
        this->resume();
    }
}

auto resumable_task::resume() -> void
{
    POPLARDRIFT_ASSERT(!this->done);
    this->task_fiber = std::move(this->task_fiber).resume();
}

} // namespace poplardrift
