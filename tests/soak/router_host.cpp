#include "router_host.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <fstream>
#include <thread>

namespace poplardrift::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto look_interval = 10ms;

} // namespace

router_host::router_host(std::string program, std::string folder, std::string name,
                         boost::asio::ip::tcp::endpoint callers)
    : program(std::move(program)), folder(std::move(folder)), name(std::move(name)),
      callers(std::move(callers))
{
}

router_host::~router_host()
{
    this->kill();
}

auto router_host::write_settings(const std::string& text) const -> void
{
    std::ofstream(this->folder + "/" + this->name + ".log"); // empties that of an earlier run
    std::ofstream(this->folder + "/" + this->name + ".settings") << text;
}

auto router_host::start() -> bool
{
    const std::lock_guard lock(this->mutex);
    const auto settings = this->folder + "/" + this->name + ".settings";
    const auto log = this->folder + "/" + this->name + ".log";
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::array<std::string, 3> words = {this->program, "--settings", settings};
    std::array<char*, 4> arguments = {words[0].data(), words[1].data(), words[2].data(), nullptr};
    const auto error = ::posix_spawn(&this->process, this->program.c_str(), &files, nullptr,
                                     arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&files);
    this->disturbed_at = clock::now();
    this->now = error == 0 ? phase::running : phase::down;
    return error == 0;
}

auto router_host::send(int signal) -> void
{
    if (this->process > 0)
    {
        ::kill(this->process, signal);
    }
}

auto router_host::collect() -> bool
{
    int status = 0;
    if (this->process > 0 && ::waitpid(this->process, &status, WNOHANG) == this->process)
    {
        this->process = -1;
        const auto in_order = WIFEXITED(status) && WEXITSTATUS(status) == 0;
        if (this->now != phase::stopping || !in_order)
        {
            this->failed = true;
            this->now = phase::down;
            this->disturbed_at = clock::now();
        }
    }
    return this->process <= 0;
}

auto router_host::kill() -> void
{
    const std::lock_guard lock(this->mutex);
    this->collect(); // it may have ended by itself before
    this->send(SIGKILL);
    if (this->process > 0)
    {
        ::waitpid(this->process, nullptr, 0);
    }
    this->process = -1;
    this->now = phase::down;
    this->disturbed_at = clock::now();
}

auto router_host::begin_stop() -> void
{
    const std::lock_guard lock(this->mutex);
    this->collect();
    this->now = phase::stopping;
    this->stopped_at = clock::now();
    this->send(SIGTERM);
}

auto router_host::wait_for_end(std::chrono::milliseconds limit) -> bool
{
    const auto end = clock::now() + limit;
    while (true)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->collect())
            {
                return true;
            }
        }
        if (clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(look_interval);
    }
}

auto router_host::reload() -> void
{
    const std::lock_guard lock(this->mutex);
    this->send(SIGHUP);
}

auto router_host::pause() -> void
{
    const std::lock_guard lock(this->mutex);
    this->now = phase::paused;
    this->disturbed_at = clock::now();
    this->send(SIGSTOP);
}

auto router_host::resume() -> void
{
    const std::lock_guard lock(this->mutex);
    this->send(SIGCONT);
    this->now = phase::running;
    this->disturbed_at = clock::now();
}

auto router_host::was_calm_since(clock::time_point moment) const -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->now == phase::running && this->disturbed_at < moment && this->stopped_at < moment;
}

auto router_host::only_stopped_since(clock::time_point moment) const -> bool
{
    const std::lock_guard lock(this->mutex);
    const auto may_run = this->now == phase::running || this->now == phase::stopping;
    return may_run && this->disturbed_at < moment;
}

auto router_host::was_stopped_after(clock::time_point moment) const -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->stopped_at > moment;
}

auto router_host::has_failed() -> bool
{
    const std::lock_guard lock(this->mutex);
    this->collect();
    return this->failed;
}

} // namespace poplardrift::soak
