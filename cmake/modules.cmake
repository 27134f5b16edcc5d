# Functions that declare a module library, a program or a test.

# Declares library ww_<name>_lib from all .cpp files of the current folder
# except *_main.cpp. Further arguments are link libraries.
function(ww_add_module name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  list(FILTER sources EXCLUDE REGEX "_main\\.cpp$")
  add_library(ww_${name}_lib STATIC ${sources})
  target_link_libraries(ww_${name}_lib PUBLIC ${ARGN})
endfunction()

# Declares program <name> from one main file.
function(ww_add_program name main_file)
  add_executable(${name} ${main_file})
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Declares GoogleTest program <name> from <name>.cpp, run as one ctest entry.
function(ww_add_test name)
  add_executable(${name} ${name}.cpp)
  target_link_libraries(${name} PRIVATE ${ARGN} GTest::gmock GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
