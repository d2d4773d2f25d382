#include "retry_rules.h"

namespace cassiaspan {

namespace {

constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;

} // namespace

bool was_sent(attempt_end end) {
    return end != attempt_end::unreachable && end != attempt_end::withheld;
}

bool may_have_run(attempt_end end) {
    return was_sent(end) && end != attempt_end::rejected && end != attempt_end::misdirected;
}

bool may_be_repeated(request_kind kind) {
    return kind == request_kind::idempotent || kind == request_kind::download;
}

bool is_retryable(request_kind kind, attempt_end end) {
    if (end == attempt_end::answered || end == attempt_end::timed_out || end == attempt_end::caller_left) {
        return false;
    }
    return !may_have_run(end) || may_be_repeated(kind);
}

unsigned final_status(attempt_end last, bool any_may_have_run) {
    if (!any_may_have_run) {
        return status_unavailable;
    }
    return last == attempt_end::timed_out ? status_timeout : status_bad_gateway;
}

const char* to_string(attempt_end end) {
    switch (end) {
    case attempt_end::answered:
        return "answered";
    case attempt_end::rejected:
        return "rejected";
    case attempt_end::misdirected:
        return "misdirected";
    case attempt_end::unreachable:
        return "unreachable";
    case attempt_end::withheld:
        return "withheld";
    case attempt_end::failed:
        return "failed";
    case attempt_end::timed_out:
        return "timed_out";
    case attempt_end::caller_left:
        return "caller_left";
    }
    return "unknown";
}

} // namespace cassiaspan
