ww_add_test(soak_test ww_platform_lib ww_soak_lib)
# A short soak of the real programs with a fixed seed.
add_test(NAME soak_seed COMMAND ww_soak --seed=1 --duration=18s
  --programs=${CMAKE_BINARY_DIR}/bin)
set_tests_properties(soak_seed PROPERTIES TIMEOUT 300 LABELS slow
  RUN_SERIAL TRUE)
