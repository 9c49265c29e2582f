#include <iostream>

#include "rattandock/app/control.hpp"

int main(int argc, char **argv)
{
    return rattandock::app::runControl({argv + 1, argv + argc}, RATTANDOCK_VERSION, std::cout,
                                       std::cerr);
}
