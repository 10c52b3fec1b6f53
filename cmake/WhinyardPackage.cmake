# whinyard_package(NAME <name> [DEPENDS <package>...] [LIBRARIES <target>...] [PRECOMPILE <header>...])
#
# Defines the library whinyard_<name> from src/, its hand-written fakes from testing/ (target
# whinyard_<name>_testing) and its test program from test/. DEPENDS may only name packages that
# were defined before, which keeps the dependency graph free of cycles and pointing downwards.
set(WHINYARD_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror)
# GCC 12 at -O3 takes std::string's operator+ for an overlapping or too long copy (GCC bug 105651); the other
# builds keep these warnings.
list(APPEND WHINYARD_WARNINGS $<$<CONFIG:Release>:-Wno-restrict> $<$<CONFIG:Release>:-Wno-stringop-overflow> $<$<CONFIG:Release>:-Wno-array-bounds>)

function(whinyard_package)
    cmake_parse_arguments(ARG "" "NAME" "DEPENDS;LIBRARIES;PRECOMPILE" ${ARGN})
    set(target whinyard_${ARG_NAME})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/src/internal/*.cpp)
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*Test.cpp)
    if(sources)
        add_library(${target} STATIC ${sources})
        set(scope PUBLIC)
        target_compile_options(${target} PRIVATE ${WHINYARD_WARNINGS})
        target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
        if(ARG_PRECOMPILE)
            target_precompile_headers(${target} PRIVATE ${ARG_PRECOMPILE})
        endif()
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(${target} ${scope} ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(${target} ${scope} ${ARG_LIBRARIES})

    add_library(${target}_testing INTERFACE)
    target_include_directories(${target}_testing INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/testing)
    target_link_libraries(${target}_testing INTERFACE ${target})

    foreach(dependency ${ARG_DEPENDS})
        if(NOT TARGET whinyard_${dependency})
            message(FATAL_ERROR "package ${ARG_NAME} depends on ${dependency}, which does not lie below it")
        endif()
        target_link_libraries(${target} ${scope} whinyard_${dependency})
        target_link_libraries(${target}_testing INTERFACE whinyard_${dependency}_testing)
    endforeach()

    if(tests AND WHINYARD_TESTS)
        add_executable(${target}_test ${tests})
        target_compile_options(${target}_test PRIVATE ${WHINYARD_WARNINGS})
        target_include_directories(${target}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
        target_link_libraries(${target}_test PRIVATE ${target}_testing whinyard_test_main)
        gtest_discover_tests(${target}_test DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 300)
    endif()
endfunction()
