# Declares the libraries, tests, benchmarks and programs of the project.
#
#   bth_library(NAME base SOURCES finding.cpp DEPENDS tl::expected)
#   bth_test(NAME base SOURCES finding_test.cpp)
#   bth_benchmark(NAME base SOURCES ids_benchmark.cpp)
#   bth_program(NAME bth-entry SOURCES main.cpp DEPENDS bth::entry)
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

add_library(bth_flags INTERFACE)
target_compile_options(bth_flags INTERFACE
    -Wall -Wextra -Wpedantic -Wconversion -Wshadow=local -Werror)
target_compile_definitions(bth_flags INTERFACE BOOST_ASIO_NO_DEPRECATED)
target_include_directories(bth_flags INTERFACE ${PROJECT_SOURCE_DIR})

function(bth_library)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
    add_library(bth_${ARG_NAME} STATIC ${ARG_SOURCES})
    add_library(bth::${ARG_NAME} ALIAS bth_${ARG_NAME})
    target_link_libraries(bth_${ARG_NAME} PUBLIC ${ARG_DEPENDS} PRIVATE bth_flags)
    target_include_directories(bth_${ARG_NAME} PUBLIC ${PROJECT_SOURCE_DIR})
endfunction()

# One test binary a library; it runs from the source folder, so that golden
# files are found by their path in the tree.
function(bth_test)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${ARG_NAME}_test ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/bth/base/testing/test_main.cpp)
    target_link_libraries(${ARG_NAME}_test PRIVATE bth::${ARG_NAME} ${ARG_DEPENDS} bth_flags PkgConfig::cpputest)
    add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME}_test WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
endfunction()

function(bth_benchmark)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${ARG_NAME}_benchmark ${ARG_SOURCES})
    target_link_libraries(${ARG_NAME}_benchmark PRIVATE
        bth::${ARG_NAME} ${ARG_DEPENDS} bth_flags benchmark::benchmark benchmark::benchmark_main)
endfunction()

function(bth_program)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${ARG_NAME} ${ARG_SOURCES})
    target_link_libraries(${ARG_NAME} PRIVATE ${ARG_DEPENDS} bth_flags)
    set_target_properties(${ARG_NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
