# Warnings, sanitizers and the compiler cache, shared by all targets.
add_library(rattandock-compiler INTERFACE)
target_include_directories(rattandock-compiler INTERFACE ${CMAKE_SOURCE_DIR}/include)
target_compile_options(rattandock-compiler INTERFACE -Wall -Wextra -Wpedantic -Werror -Wshadow)

if(RATTANDOCK_SANITIZE)
    # GCC reports false positives from Boost and the standard library when it instruments code.
    target_compile_options(rattandock-compiler INTERFACE
        -O1 -g1 -fsanitize=${RATTANDOCK_SANITIZE} -fno-omit-frame-pointer -Wno-error -w)
    target_link_options(rattandock-compiler INTERFACE -fsanitize=${RATTANDOCK_SANITIZE})
endif()

find_program(RATTANDOCK_CCACHE ccache)
if(RATTANDOCK_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${RATTANDOCK_CCACHE})
endif()
