ww_add_test(gateway_choose_test ww_gateway_lib)
ww_add_test(gateway_runner_model_test ww_gateway_lib)
ww_add_test(gateway_runner_pace_test ww_gateway_lib)
ww_add_test(gateway_stream_test ww_gateway_lib)
ww_add_test(gateway_request_key_test ww_platform_lib)
ww_add_test(gateway_crash_evidence_test ww_gateway_lib)
ww_add_test(gateway_request_test ww_platform_lib)
ww_add_test(gateway_silence_test ww_platform_lib)
ww_add_test(gateway_faulty_runner_test ww_platform_lib)
# It measures resident memory, to which the address sanitizer adds up to 256 MiB
# of freed memory by default.
set_tests_properties(gateway_faulty_runner_test PROPERTIES ENVIRONMENT
  "ASAN_OPTIONS=detect_stack_use_after_return=0:quarantine_size_mb=1")
ww_add_test(gateway_team_test ww_platform_lib)
ww_add_test(gateway_drain_test ww_platform_lib)
ww_add_test(gateway_process_test ww_platform_lib ww_scenario_lib)
add_dependencies(gateway_process_test ww_platform_entry)
target_compile_definitions(gateway_process_test PRIVATE
  WW_PLATFORM_ENTRY="$<TARGET_FILE:ww_platform_entry>")
