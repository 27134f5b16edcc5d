ww_add_test(net_fiber_test ww_net_lib)
ww_add_test(net_http_test ww_net_lib)
ww_add_test(net_signal_test ww_net_lib)
ww_add_test(net_message_test ww_net_lib ww_scenario_lib)
ww_add_test(net_datagram_test ww_net_lib)
ww_add_test(memory_budget_test ww_net_lib)
# Each test measures memory and uses up descriptors of a process, so that each
# runs alone.
add_executable(caller_limits_process_test caller_limits_process_test.cpp)
target_link_libraries(caller_limits_process_test PRIVATE ww_platform_lib
  ww_scenario_lib GTest::gmock GTest::gtest_main)
add_dependencies(caller_limits_process_test ww_platform_entry
  ww_platform_control)
target_compile_definitions(caller_limits_process_test PRIVATE
  WW_PLATFORM_ENTRY="$<TARGET_FILE:ww_platform_entry>"
  WW_PLATFORM_CONTROL="$<TARGET_FILE:ww_platform_control>")
# They measure resident memory, to which the address sanitizer adds up to 256 MiB
# of freed memory by default.
set(limits_environment
  "ASAN_OPTIONS=detect_stack_use_after_return=0:quarantine_size_mb=1")
foreach(case TrailersWithoutEnd TrailersWithoutEndForTheDirectory
    ChunkExtensionWithoutEnd ChunkSizeWithoutEnd SmallChunksWithExtensions
    BlankLinesBeforeARequest PipelinedRequestsWithUnreadAnswers BodiesThatStall
    BodiesThatWaitForAnswers
    HeadersOfManyFields SilentConnections LongestAllowedRequestIsAnswered)
  add_test(NAME caller_limits_${case} COMMAND caller_limits_process_test
    --gtest_filter=CallerLimitsTest.${case})
  set_tests_properties(caller_limits_${case} PROPERTIES RUN_SERIAL TRUE
    TIMEOUT 300 LABELS caller_limits ENVIRONMENT "${limits_environment}")
endforeach()
foreach(case TrailersWithoutEnd BodiesThatStall ReportsOfManyValues)
  add_test(NAME control_limits_${case} COMMAND caller_limits_process_test
    --gtest_filter=ControlLimitsTest.${case})
  set_tests_properties(control_limits_${case} PROPERTIES RUN_SERIAL TRUE
    TIMEOUT 300 LABELS caller_limits ENVIRONMENT "${limits_environment}")
endforeach()
