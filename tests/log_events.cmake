ww_add_test(log_events_test)
target_compile_definitions(log_events_test PRIVATE
  WW_SOURCE_FOLDER="${CMAKE_SOURCE_DIR}")
