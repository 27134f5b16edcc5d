ww_add_test(fleet_control_process_test ww_platform_lib ww_scenario_lib)
add_dependencies(fleet_control_process_test ww_platform_control)
target_compile_definitions(fleet_control_process_test PRIVATE
  WW_PLATFORM_CONTROL="$<TARGET_FILE:ww_platform_control>")
ww_add_test(fleet_control_long_report_test ww_platform_lib ww_scenario_lib)
add_dependencies(fleet_control_long_report_test ww_platform_control)
target_compile_definitions(fleet_control_long_report_test PRIVATE
  WW_PLATFORM_CONTROL="$<TARGET_FILE:ww_platform_control>")
# It measures resident memory, to which the address sanitizer adds up to 256 MiB
# of freed memory by default.
set_tests_properties(fleet_control_long_report_test PROPERTIES ENVIRONMENT
  "ASAN_OPTIONS=detect_stack_use_after_return=0:quarantine_size_mb=1")
ww_add_test(fleet_control_publisher_test ww_fleet_control_lib)
ww_add_test(fleet_control_route_state_machine_test ww_fleet_control_lib)
ww_add_test(fleet_freshness_test ww_fleet_control_lib)
ww_add_test(fleet_simulation_test ww_fleet_control_lib)
# It takes 85 s alone, most of it for the largest size.
set_tests_properties(fleet_simulation_test PROPERTIES LABELS slow TIMEOUT 900)
