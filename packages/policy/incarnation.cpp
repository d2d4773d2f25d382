#include "incarnation.h"

#include <algorithm>
#include <limits>

namespace cassiaspan {

namespace {

// Datagrams of incarnations before these have long expired.
constexpr std::size_t max_former_incarnations = 4;

} // namespace

incarnation_order compare_incarnation(const incarnation_history& known, std::uint64_t number,
                                      bool current_is_alive) {
    if (number == known.current) {
        return incarnation_order::current;
    }
    const bool is_former = std::find(known.former.begin(), known.former.end(), number) != known.former.end();
    const bool is_earlier = current_is_alive && (is_former || number < known.current);
    return is_earlier ? incarnation_order::earlier : incarnation_order::later;
}

incarnation_history replace_incarnation(const incarnation_history& known, std::uint64_t number) {
    incarnation_history replaced{number, known.former};
    std::erase(replaced.former, number);
    replaced.former.push_back(known.current);
    if (replaced.former.size() > max_former_incarnations) {
        replaced.former.erase(replaced.former.begin());
    }
    return replaced;
}

std::uint64_t supersede_incarnation(std::uint64_t own, std::uint64_t recorded) {
    const bool is_superseded = recorded <= own || recorded == std::numeric_limits<std::uint64_t>::max();
    return is_superseded ? own : recorded + 1;
}

} // namespace cassiaspan
