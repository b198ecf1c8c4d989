#include "support/net/port_reservation.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

/** Reserves the given number of free ports, prints them, and releases them when its standard input is closed.
 */
int main(int argument_count, char** arguments) {
    try {
        const long count = argument_count > 1 ? std::strtol(arguments[1], nullptr, 10) : 1;
        std::vector<tamarack::testing_support::port_reservation> reservations;
        for (long number = 0; number < count; ++number) {
            std::cout << reservations.emplace_back().port() << (number + 1 < count ? ' ' : '\n');
        }
        std::cout.flush();
        std::string ignored;
        while (std::getline(std::cin, ignored)) {
        }
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "port_holder: " << failure.what() << '\n';
        return 1;
    }
}
