ww_add_test(control_engine_client_test ww_control_lib)
ww_add_program(control_test_server control_test_server_main.cpp ww_control_lib)
ww_add_test(control_process_test ww_control_lib ww_scenario_lib)
add_dependencies(control_process_test control_test_server ww_control)
target_compile_definitions(control_process_test PRIVATE
  WW_CONTROL_PROGRAM="$<TARGET_FILE:control_test_server>"
  WW_CONFIG_PROGRAM="$<TARGET_FILE:ww_control>")
