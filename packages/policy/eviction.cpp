#include "eviction.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace cassiaspan {

namespace {

// Callers with a usual round trip make progress within this time.
constexpr milliseconds min_holding_time{1000};
// The same for the header of a request, which arrives with the first segments of a connection: longer than a
// segment that was lost takes to be sent again.
constexpr milliseconds min_header_time{250};
// A caller that moves fewer bytes counts as one that makes no progress, bytes per second. Mobile links in bad
// conditions still move some thousand.
constexpr double min_bytes_per_second = 500;
// A caller that makes progress is not asked before this time, unless it holds more than the newcomer needs.
// Most requests end within it.
constexpr milliseconds long_holding_time{5000};
// A source dominates if it holds more than one half, and does not give way to a newcomer whose source holds
// more than one eighth.
constexpr std::size_t dominant_divisor = 2;
constexpr std::size_t small_source_divisor = 8;

// Why a holder may be asked, in the order in which they are.
enum class eviction_reason {
    makes_no_progress,
    holds_for_long,
    holds_more,
    has_no_header,
    comes_from_dominant_source
};

using amounts_by_source = std::unordered_map<caller_source, std::size_t>;

double bytes_per_second(const caller_holding& holder, instant now) {
    const std::chrono::duration<double> age = now - holder.since;
    return static_cast<double>(holder.moved_bytes) / std::max(age.count(), 1.0);
}

std::optional<eviction_reason> find_reason(const caller_holding& holder, const newcomer& arriving,
                                           bool is_dominant, instant now) {
    const auto age = now - holder.since;
    if (age >= min_holding_time && (now - holder.last_progress >= min_holding_time ||
                                    bytes_per_second(holder, now) < min_bytes_per_second)) {
        return eviction_reason::makes_no_progress;
    }
    if (age >= long_holding_time) {
        return eviction_reason::holds_for_long;
    }
    if (age >= min_holding_time && holder.amount > arriving.amount) {
        return eviction_reason::holds_more;
    }
    if (holder.stage == caller_stage::header && age >= min_header_time) {
        return eviction_reason::has_no_header;
    }
    if (is_dominant) {
        return eviction_reason::comes_from_dominant_source;
    }
    return std::nullopt;
}

// A holder that may be asked. The fields are compared in their order: the smallest one gives way first.
struct eviction_candidate {
    eviction_reason reason;
    std::size_t source_rest;
    double bytes_per_second;
    std::size_t amount_rest;
    instant since;
    std::size_t index;
};

// An order for a heap, whose first element is the one that gives way first.
bool gives_way_after(const eviction_candidate& first, const eviction_candidate& second) {
    const auto key = [](const eviction_candidate& each) {
        return std::tie(each.reason, each.source_rest, each.amount_rest, each.bytes_per_second, each.since,
                        each.index);
    };
    return key(second) < key(first);
}

} // namespace

std::vector<std::size_t> choose_evictions(const std::vector<caller_holding>& holders,
                                          const newcomer& arriving, instant now) {
    amounts_by_source by_source;
    std::size_t total = 0;
    for (const caller_holding& holder : holders) {
        by_source[holder.source] += holder.amount;
        total += holder.amount;
    }
    const auto own = by_source.find(arriving.source);
    const bool is_small_source = own == by_source.end() || own->second <= total / small_source_divisor;
    std::vector<eviction_candidate> candidates;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const caller_holding& holder = holders[i];
        const std::size_t of_source = by_source[holder.source];
        const bool is_dominant =
            is_small_source && holder.source != arriving.source && of_source > total / dominant_divisor;
        const auto reason = find_reason(holder, arriving, is_dominant, now);
        if (reason && holder.amount > 0) {
            candidates.push_back({*reason, total - of_source, bytes_per_second(holder, now),
                                  total - holder.amount, holder.since, i});
        }
    }
    // Few of many are chosen, so that they need not all be sorted.
    std::make_heap(candidates.begin(), candidates.end(), gives_way_after);
    std::vector<std::size_t> chosen;
    std::size_t freed = 0;
    while (freed < arriving.missing && !candidates.empty()) {
        std::pop_heap(candidates.begin(), candidates.end(), gives_way_after);
        freed += holders[candidates.back().index].amount;
        chosen.push_back(candidates.back().index);
        candidates.pop_back();
    }
    if (freed < arriving.missing) {
        chosen.clear();
    }
    return chosen;
}

} // namespace cassiaspan
