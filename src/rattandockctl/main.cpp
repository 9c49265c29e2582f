#include <iostream>

#include "platform/configuration_codec.hpp"
#include "rattandock/app/control.hpp"

int main(int argc, char **argv)
{
    return rattandock::app::runControl({argv + 1, argv + argc}, RATTANDOCK_VERSION,
                                       rattandock::platform::makeConfigFormat(), std::cout,
                                       std::cerr);
}
