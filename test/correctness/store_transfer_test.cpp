// How long a VM goes on reading a response of the store, and when it reads all items instead of the changes.

#include "store_transfer.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

constexpr instant start{seconds(1000)};
constexpr std::uint64_t kilobyte = 1000;
constexpr std::uint64_t megabyte = 1'000'000;

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

struct choice_row {
    std::string name;
    catch_up_options options;
    bool reads_all_items;
};

// Guards against reading a long history of changes of which only the last ones matter, and against reading
// all items for the sake of a few bytes.
void check_choice(const choice_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.reads_all_items, should_read_all_items(row.options));
}

constexpr std::uint64_t mbit_per_second = 125'000;

const test_table<choice_row> choices(
    "store transfer, changes or all items",
    {{"few changes", {.remaining_bytes = kilobyte, .full_read_bytes = megabyte}, false},
     {"few changes on a slow link",
      {.remaining_bytes = 900 * kilobyte, .full_read_bytes = megabyte, .bytes_per_second = mbit_per_second},
      false},
     {"a little more than all items, in time",
      {.remaining_bytes = 1100 * kilobyte, .full_read_bytes = megabyte},
      false},
     {"a little more than all items, too late",
      {.remaining_bytes = 1100 * kilobyte, .full_read_bytes = megabyte, .known_age = milliseconds(2000)},
      true},
     {"a little more than all items of a store that is slow to respond",
      {.remaining_bytes = 1100 * kilobyte,
       .full_read_bytes = megabyte,
       .call_latency = milliseconds(300),
       .known_age = milliseconds(2000)},
      false},
     {"25 versions on a link of 10 Mbit/s",
      {.remaining_bytes = 14 * megabyte, .full_read_bytes = 550 * kilobyte},
      true},
     {"25 versions on a fast link",
      {.remaining_bytes = 14 * megabyte,
       .full_read_bytes = 550 * kilobyte,
       .bytes_per_second = 200 * mbit_per_second},
      false},
     {"two versions on a link of 1 Mbit/s",
      {.remaining_bytes = 1100 * kilobyte,
       .full_read_bytes = 550 * kilobyte,
       .bytes_per_second = mbit_per_second},
      true},
     {"a link that has carried nothing",
      {.remaining_bytes = 2, .full_read_bytes = 1, .bytes_per_second = 0},
      true}},
    check_choice);

struct size_row {
    std::string name;
    std::optional<std::uint64_t> announced_bytes;
    std::uint64_t received_bytes;
    std::uint64_t expected_remaining;
    std::optional<std::uint64_t> expected_rate;
};

// Guards against a store that announces no length, or a wrong one.
void check_size(const size_row& row) {
    // What arrives first has waited for the VM: it tells nothing of the link.
    const std::uint64_t first_bytes = row.received_bytes / 2;
    transfer_progress progress =
        record_arrival(start_transfer(start, milliseconds(0)), first_bytes, start + tenth);
    progress = record_arrival(progress, row.received_bytes - first_bytes, start + 2 * tenth);
    progress.announced_bytes = row.announced_bytes;
    CPPUNIT_ASSERT_EQUAL(row.expected_remaining, expected_remaining_bytes(progress));
    CPPUNIT_ASSERT(row.expected_rate == measure_rate(progress, start + 2 * tenth));
}

const test_table<size_row> sizes("store transfer, size",
                                 {{"announced", megabyte, 200 * kilobyte, 800 * kilobyte, megabyte},
                                  {"not announced", std::nullopt, 200 * kilobyte, 200 * kilobyte, megabyte},
                                  {"announced too low", kilobyte, 200 * kilobyte, 0, megabyte},
                                  {"too small to measure", megabyte, kilobyte, 999 * kilobyte, std::nullopt}},
                                 check_size);

} // namespace
} // namespace cassiaspan::test
