#include "router_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace poplardrift::tests
{

namespace
{

using boost::asio::ip::address_v4;

constexpr std::uint16_t caller_port = 8080;
constexpr std::uint16_t status_port = 8081;
constexpr std::uint16_t peer_port = 7340;
constexpr std::uint16_t metrics_port = 7341;
constexpr auto sampling_interval = std::chrono::milliseconds(5);

/// Depends on the process, so that two test runs on one machine do not meet.
auto own_address() -> address_v4
{
    const auto process = static_cast<unsigned>(::getpid());
    return address_v4(0x7F000001U | ((100U + process % 100U) << 16U) |
                      ((process / 100U % 250U) << 8U));
}

auto count_descriptors(pid_t process) -> std::size_t
{
    std::error_code error;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd", error);
    std::size_t count = 0;
    while (!error && entries != std::filesystem::directory_iterator())
    {
        ++count;
        entries.increment(error);
    }
    return count;
}

} // namespace

router_process::router_process(std::uint16_t store_port, process_limits limits)
    : limits(limits), callers(own_address(), caller_port), status(own_address(), status_port),
      metrics(own_address(), metrics_port), peers(own_address(), peer_port),
      folder(std::string(POPLARDRIFT_BINARY_DIR) + "/../untrusted_callers")
{
    std::filesystem::create_directories(this->folder);
    const auto address = own_address().to_string();
    const auto settings = this->folder + "/router.settings";
    const auto log = this->folder + "/router.log";
    std::ofstream(settings) << "node_name=h0\nip=" << address
                            << "\nzone=z-a\nlisten.frontend=" << address << ":" << caller_port
                            << "\nlisten.ready=" << address << ":" << status_port
                            << "\nport_range=" << peer_port << ",7355\nseeds="
                            << "\nplatform.address=127.0.0.1:" << store_port
                            << "\nbounds.retry_ratio=0.3\nbounds.retry_slack=20"
                            << "\nlimits.memory_mb=" << limits.memory_mb
                            << "\nlimits.max_fds=" << limits.descriptors << "\n";
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::array<std::string, 3> texts = {std::string(POPLARDRIFT_BINARY_DIR) + "/poplardrift-router",
                                        "--settings", settings};
    std::array<char*, 4> arguments = {texts[0].data(), texts[1].data(), texts[2].data(), nullptr};
    const auto error =
        ::posix_spawn(&this->process, texts[0].c_str(), &files, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&files);
    if (error != 0)
    {
        throw std::runtime_error("the router process cannot be started");
    }
    this->sampler = std::thread([this] { this->sample(); });
}

router_process::~router_process()
{
    this->stopping = true;
    this->sampler.join();
    if (this->is_running())
    {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

auto router_process::is_running() -> bool
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) != 0)
    {
        this->process = -1;
    }
    return this->process > 0;
}

auto router_process::sample() -> void
{
    const auto sampled = this->process;
    while (!this->stopping)
    {
        this->most_descriptors =
            std::max(this->most_descriptors.load(), count_descriptors(sampled));
        std::this_thread::sleep_for(sampling_interval);
    }
}

auto router_process::peak() const -> resource_peak
{
    constexpr std::size_t bytes_per_unit = 1024;
    std::ifstream file("/proc/" + std::to_string(this->process) + "/status");
    resource_peak result;
    result.descriptors = this->most_descriptors;
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("VmHWM:"))
        {
            result.resident_bytes = std::stoul(line.substr(6)) * bytes_per_unit;
        }
    }
    return result;
}

} // namespace poplardrift::tests
