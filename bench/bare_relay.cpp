/// A relay with nothing but the HTTP library, as a measure for what the daemon adds. It answers
/// status 200 before it asks the upstream, decides nothing and checks nothing.

#include "net/http_listener.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

auto main(int argc, char** argv) -> int
{
    if (argc != 5)
    {
        std::cerr << "usage: bare_relay ADDRESS PORT UPSTREAM_ADDRESS UPSTREAM_PORT\n";
        return 2;
    }
    const std::string upstream = argv[3];
    const auto upstream_port = std::atoi(argv[4]);
    std::signal(SIGPIPE, SIG_IGN);
    poplardrift::http_listener listener({.address = argv[1],
                                         .port = static_cast<std::uint16_t>(std::atoi(argv[2])),
                                         .max_connections = 20'000,
                                         .read_seconds = 120,
                                         .write_seconds = 120});
    listener.server().Post(
        "/v1/chat/completions",
        [&](const httplib::Request& request, httplib::Response& response)
        {
            response.set_chunked_content_provider(
                "text/event-stream",
                [body = request.body, upstream, upstream_port](std::size_t, httplib::DataSink& sink)
                {
                    httplib::Client client(upstream, upstream_port);
                    client.set_tcp_nodelay(true);
                    client.set_read_timeout(120);
                    httplib::Request asked;
                    asked.method = "POST";
                    asked.path = "/v1/chat/completions";
                    asked.body = body;
                    asked.headers = {{"Content-Type", "application/json"}};
                    asked.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                                 std::uint64_t) { return sink.write(data, size); };
                    httplib::Response answer;
                    auto error = httplib::Error::Success;
                    const auto good = client.send(asked, answer, error);
                    sink.done();
                    return good;
                });
        });
    if (!listener.start())
    {
        return 3;
    }
    std::cout << "ready\n" << std::flush;
    pause();
    return 0;
}
