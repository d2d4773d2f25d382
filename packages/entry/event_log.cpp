#include "event_log.h"

#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/time_util.h>
#include <iostream>
#include <mutex>

namespace cassiaspan {

namespace {

namespace logging = boost::log;

constexpr std::size_t queued_lines = 8192;
using log_sink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<queued_lines, logging::sinks::drop_on_overflow>>;

struct log_state {
    log_options options;
    boost::shared_ptr<log_sink> sink;
};

log_state& state() {
    static log_state instance;
    return instance;
}

const char* severity_name(severity level) {
    constexpr std::array<const char*, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::string render_text(const schema::LogLine& line) {
    std::string text = line.time() + " " + line.severity() + " " + std::to_string(line.event()) + " " +
                       line.name() + " vm=" + line.vm();
    if (!line.request_id().empty()) {
        text += " request=" + line.request_id();
    }
    return text + " " + line.text();
}

std::string render_json(const schema::LogLine& line) {
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(line, &text));
    return text;
}

} // namespace

void start_log(const log_options& options) {
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    state().options = options;
    state().sink = boost::make_shared<log_sink>(backend);
    logging::core::get()->add_sink(state().sink);
}

void stop_log() {
    if (state().sink) {
        logging::core::get()->remove_sink(state().sink);
        state().sink->stop();
        state().sink->flush();
        state().sink.reset();
    }
}

void log_event(schema::Event event, severity level, const std::string& request_id, const std::string& text) {
    if (!state().sink || level < state().options.lowest) {
        return;
    }
    using google::protobuf::util::TimeUtil;
    schema::LogLine line;
    line.set_time(TimeUtil::ToString(TimeUtil::GetCurrentTime()));
    line.set_severity(severity_name(level));
    line.set_event(static_cast<std::uint32_t>(event));
    line.set_name(schema::Event_Name(event));
    line.set_vm(state().options.vm);
    line.set_request_id(request_id);
    line.set_text(text);
    logging::sources::logger_mt logger;
    BOOST_LOG(logger) << (state().options.json ? render_json(line) : render_text(line));
}

std::string render_event_catalogue() {
    std::string page = "# Log events\n\n"
                       "Generated from `packages/schema/events.proto`; a test compares the two.\n\n"
                       "| number | name | meaning |\n| --- | --- | --- |\n";
    const auto* descriptor = schema::Event_descriptor();
    for (int i = 1; i < descriptor->value_count(); ++i) {
        const auto* value = descriptor->value(i);
        page += "| " + std::to_string(value->number()) + " | " + value->name() + " | " +
                value->options().GetExtension(schema::meaning) + " |\n";
    }
    return page;
}

} // namespace cassiaspan
