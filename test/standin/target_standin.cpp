#include "target_standin.h"

#include "digest.h"
#include "http_answers.h"

#include <civetweb.h>
#include <cstdlib>
#include <thread>

namespace cassiaspan::standin {

namespace {

constexpr milliseconds forever{600'000};

} // namespace

target_standin::target_standin(target_options options_in, const clock& clock_in)
    : options(std::move(options_in)), time(clock_in) {
    if (!this->options.record_file.empty()) {
        this->records.open(this->options.record_file, std::ios::app);
    }
}

int target_standin::serve(mg_connection* connection, const mg_request_info& info) {
    if (std::string(info.local_uri) == "/control") {
        const std::scoped_lock lock(this->mutex);
        this->mode = query_value(info, "mode");
        return answer(connection, 200, "ok");
    }
    const std::size_t before = this->busy.fetch_add(1);
    const int status = before >= this->options.slots ? answer(connection, 503, "shed", "Retry-After: 1\r\n")
                                                     : this->serve_work(connection, info);
    --this->busy;
    return status;
}

int target_standin::serve_work(mg_connection* connection, const mg_request_info& info) {
    std::string present;
    {
        const std::scoped_lock lock(this->mutex);
        present = this->mode;
    }
    const std::string body = read_body(connection);
    if (mg_get_request_info(connection)->content_length > 0 &&
        static_cast<long long>(body.size()) < mg_get_request_info(connection)->content_length) {
        return answer(connection, 400, "short");
    }
    this->record(connection, info, body);
    if (!this->options.poison.empty() && body.find(this->options.poison) != std::string::npos) {
        std::_Exit(1);
    }
    std::this_thread::sleep_for(this->options.service_time);
    if (!present.empty()) {
        return this->misbehave(connection, present);
    }
    std::string echo = this->options.name + " " + info.request_method + " " + info.request_uri + " " +
                       header_value(connection, "X-Cassiaspan-Workspace") + " " + sha256_hex(body) + "\n";
    for (int i = 0; i < info.num_headers; ++i) {
        echo += std::string(info.http_headers[i].name) + ": " + info.http_headers[i].value + "\n";
    }
    const std::string size = query_value(info, "size");
    return answer(connection, 200, size.empty() ? echo : std::string(std::stoul(size), 'x'),
                  "X-Echo: " + header_value(connection, "X-Tag") + "\r\n");
}

int target_standin::misbehave(mg_connection* connection, const std::string& present) {
    std::string text;
    if (present == "garbage") {
        text = "this is no HTTP at all\r\n\r\n";
    } else if (present == "short") {
        text = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this";
    } else if (present == "short-long") {
        text = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(200'000, 'y');
    } else if (present == "short-chunked") {
        text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    } else if (present == "too-long") {
        text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour and more that belongs to nobody";
    } else if (present == "doubled") {
        const std::string once = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
        text = once + once;
    } else if (present == "never") {
        std::this_thread::sleep_for(forever);
    }
    mg_write(connection, text.data(), text.size());
    // Modes that break the framing end the connection, but for those that leave bytes behind on purpose.
    if (present != "too-long" && present != "doubled") {
        mg_disable_connection_keep_alive(connection);
    }
    return 200;
}

void target_standin::record(mg_connection* connection, const mg_request_info& info, const std::string& body) {
    const std::scoped_lock lock(this->mutex);
    if (this->records) {
        this->records << this->time.now().time_since_epoch().count() << ' ' << this->options.name << ' '
                      << header_value(connection, "X-Cassiaspan-Workspace") << ' ' << info.request_method
                      << ' ' << info.request_uri << " tag=" << header_value(connection, "X-Tag")
                      << " body=" << sha256_hex(body) << std::endl;
    }
}

} // namespace cassiaspan::standin
