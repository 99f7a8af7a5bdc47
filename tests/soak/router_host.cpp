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

constexpr auto poll_interval = 10ms;

} // namespace

router_host::router_host(std::string program, std::string folder, std::string name,
                         boost::asio::ip::tcp::endpoint caller_address)
    : program(std::move(program)), folder(std::move(folder)), name(std::move(name)),
      caller_address(std::move(caller_address))
{
}

router_host::~router_host()
{
    this->kill();
}

auto router_host::write_settings(const std::string& text) const -> void
{
    std::ofstream(this->folder + "/" + this->name + ".log"); // truncates the log of an earlier run
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
    std::array<std::string, 3> argument_texts = {this->program, "--settings", settings};
    std::array<char*, 4> arguments = {argument_texts[0].data(), argument_texts[1].data(),
                                      argument_texts[2].data(), nullptr};
    const auto error = ::posix_spawn(&this->process, this->program.c_str(), &files, nullptr,
                                     arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&files);
    this->disturbed_at = clock::now();
    this->current_phase = error == 0 ? phase::running : phase::down;
    return error == 0;
}

auto router_host::send_signal(int signal) -> void
{
    if (this->process > 0)
    {
        ::kill(this->process, signal);
    }
}

auto router_host::reap() -> bool
{
    int status = 0;
    if (this->process > 0 && ::waitpid(this->process, &status, WNOHANG) == this->process)
    {
        this->process = -1;
        const auto exited_cleanly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
        if (this->current_phase != phase::stopping || !exited_cleanly)
        {
            this->failed = true;
            this->current_phase = phase::down;
            this->disturbed_at = clock::now();
        }
    }
    return this->process <= 0;
}

auto router_host::kill() -> void
{
    const std::lock_guard lock(this->mutex);
    this->reap(); // the process may have exited without a request
    this->send_signal(SIGKILL);
    if (this->process > 0)
    {
        ::waitpid(this->process, nullptr, 0);
    }
    this->process = -1;
    this->current_phase = phase::down;
    this->disturbed_at = clock::now();
}

auto router_host::begin_stop() -> void
{
    const std::lock_guard lock(this->mutex);
    this->reap();
    this->current_phase = phase::stopping;
    this->stop_requested_at = clock::now();
    this->send_signal(SIGTERM);
}

auto router_host::wait_for_exit(std::chrono::milliseconds limit) -> bool
{
    const auto end = clock::now() + limit;
    while (true)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->reap())
            {
                return true;
            }
        }
        if (clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

auto router_host::reload() -> void
{
    const std::lock_guard lock(this->mutex);
    this->send_signal(SIGHUP);
}

auto router_host::pause() -> void
{
    const std::lock_guard lock(this->mutex);
    this->current_phase = phase::paused;
    this->disturbed_at = clock::now();
    this->send_signal(SIGSTOP);
}

auto router_host::resume() -> void
{
    const std::lock_guard lock(this->mutex);
    this->send_signal(SIGCONT);
    this->current_phase = phase::running;
    this->disturbed_at = clock::now();
}

auto router_host::was_undisturbed_since(clock::time_point moment) const -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->current_phase == phase::running && this->disturbed_at < moment &&
           this->stop_requested_at < moment;
}

auto router_host::had_only_planned_stops_since(clock::time_point moment) const -> bool
{
    const std::lock_guard lock(this->mutex);
    const auto may_run =
        this->current_phase == phase::running || this->current_phase == phase::stopping;
    return may_run && this->disturbed_at < moment;
}

auto router_host::was_stop_requested_after(clock::time_point moment) const -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->stop_requested_at > moment;
}

auto router_host::has_failed() -> bool
{
    const std::lock_guard lock(this->mutex);
    this->reap();
    return this->failed;
}

} // namespace poplardrift::soak
