// Prints docs/EVENTS.md.

#include "event_log.h"

#include <iostream>

int main() {
    std::cout << cassiaspan::render_event_catalogue();
}
