// How long a VM goes on reading a response of the store.

#include "store_transfer.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

constexpr instant start{seconds(1000)};
constexpr std::uint64_t kilobyte = 1000;

// Bytes that arrive at a time after the start of the call.
struct arrival {
    milliseconds at;
    std::uint64_t bytes;
};

struct progress_row {
    std::string name;
    milliseconds wait;
    std::vector<arrival> arrivals;
    // When the transfer is checked, and the result.
    milliseconds checked_at;
    transfer_check expected;
};

// Guards against a limit on the whole of a transfer, whose size nobody bounds.
void check_progress(const progress_row& row) {
    transfer_progress progress = start_transfer(start, row.wait);
    for (const arrival& part : row.arrivals) {
        CPPUNIT_ASSERT(check_transfer(progress, start + part.at) == transfer_check::in_progress);
        progress = record_arrival(progress, part.bytes, start + part.at);
    }
    const instant checked_at = start + row.checked_at;
    CPPUNIT_ASSERT(check_transfer(progress, checked_at) == row.expected);
    // A check at the announced time finds what one at this time does.
    CPPUNIT_ASSERT_EQUAL(row.expected != transfer_check::in_progress,
                         next_transfer_check(progress) <= checked_at);
}

// Returns `count` arrivals of `bytes` each, `interval` apart.
std::vector<arrival> repeat(int count, milliseconds interval, std::uint64_t bytes) {
    std::vector<arrival> arrivals;
    for (int i = 1; i <= count; ++i) {
        arrivals.push_back({i * interval, bytes});
    }
    return arrivals;
}

// Returns the arrivals, and after them more.
std::vector<arrival> followed_by(std::vector<arrival> arrivals, int count, milliseconds interval,
                                 std::uint64_t bytes) {
    for (int i = 0; i < count; ++i) {
        arrivals.push_back({arrivals.back().at + interval, bytes});
    }
    return arrivals;
}

constexpr milliseconds tenth{100};
constexpr milliseconds half{500};

const test_table<progress_row> transfers(
    "store transfer",
    {{"no response yet", milliseconds(0), {}, milliseconds(899), transfer_check::in_progress},
     {"no response", milliseconds(0), {}, milliseconds(900), transfer_check::silent},
     {"no response to a watch yet", milliseconds(1500), {}, milliseconds(2399), transfer_check::in_progress},
     {"no response to a watch", milliseconds(1500), {}, milliseconds(2400), transfer_check::silent},
     {"a minute at 1 Mbit/s", milliseconds(0), repeat(600, tenth, 12 * kilobyte), milliseconds(60'899),
      transfer_check::in_progress},
     {"silent after a minute", milliseconds(0), repeat(600, tenth, 12 * kilobyte), milliseconds(60'900),
      transfer_check::silent},
     {"a byte every half second", milliseconds(0), repeat(10, half, 1), milliseconds(5499),
      transfer_check::in_progress},
     {"a byte every half second for too long", milliseconds(0), repeat(10, half, 1), milliseconds(5500),
      transfer_check::too_slow},
     {"a trickle after a good start", milliseconds(0),
      followed_by(repeat(60, tenth, 100 * kilobyte), 18, half, 1), milliseconds(15'500),
      transfer_check::too_slow},
     {"a good rate after a slow start", milliseconds(0),
      followed_by(repeat(5, half, 1), 5, half, 50 * kilobyte), milliseconds(5800),
      transfer_check::in_progress}},
    check_progress);

} // namespace
} // namespace cassiaspan::test
