# Adds the library rattandock-NAME from the sources in the current folder (without main.cpp) and,
# from its *_test.cpp files, the one test program rattandock-NAME-test.
function(rattandock_layer NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp detail/*.cpp)
    set(tests ${sources})
    list(FILTER sources EXCLUDE REGEX "(_test|/main)\\.cpp$")
    list(FILTER tests INCLUDE REGEX "_test\\.cpp$")

    add_library(rattandock-${NAME} STATIC ${sources})
    target_link_libraries(rattandock-${NAME} PUBLIC rattandock-compiler Boost::headers ${ARG_DEPENDS})

    if(NOT tests)
        message(FATAL_ERROR "layer ${NAME} has no tests")
    endif()
    add_executable(rattandock-${NAME}-test ${tests} ${CMAKE_SOURCE_DIR}/src/test_main.cpp)
    target_compile_definitions(rattandock-${NAME}-test PRIVATE BOOST_TEST_DYN_LINK
        RATTANDOCK_TEST_MODULE="${NAME}" RATTANDOCK_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(rattandock-${NAME}-test PRIVATE rattandock-${NAME}
        Boost::unit_test_framework rapidcheck ${ARG_TEST_DEPENDS})
    add_test(NAME ${NAME} COMMAND rattandock-${NAME}-test)
    # Ends a test program that hangs; no test asserts a time. The schedules of the layer fleet take
    # minutes under the address sanitizer beside other work.
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 1800 LABELS layer)
    add_dependencies(tests rattandock-${NAME}-test)
endfunction()
