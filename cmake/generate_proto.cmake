# Regenerates src/gen from proto/*.proto with the installed protoc. The output
# is committed, so that a normal build doesn't need protoc.
add_custom_target(regenerate
  COMMAND ${CMAKE_SOURCE_DIR}/cmake/regenerate.sh
  WORKING_DIRECTORY ${CMAKE_SOURCE_DIR}
  COMMENT "Regenerating src/gen from proto/*.proto")
