// Reads settings and reports every fault with its place.
#include <iostream>

#include "rattandock/adapters/settings.hpp"

using namespace rattandock;

int main()
{
    const auto settings = adapters::parseSettings(R"({
        // One fault in each of the next two lines.
        "vm": 1,
        "ioThread": 2,
        "zone": "z1", "callerAddress": "127.0.0.1:0", "operatorAddress": "127.0.0.1:0",
    })",
                                                  "example.json");
    if (settings || settings.error().items().size() != 2) {
        std::cerr << "two findings are expected\n";
        return 1;
    }
    std::cout << describe(settings.error());
    return 0;
}
