#include <iostream>

#include "rattandock/app/exit_code.hpp"

int main()
{
    std::cerr << "rattandockctl " RATTANDOCK_VERSION ": no commands yet\n";
    return rattandock::app::exitUsage;
}
