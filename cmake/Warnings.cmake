add_library(hallchute_warnings INTERFACE)
target_compile_options(hallchute_warnings INTERFACE -Wall -Wextra -Wpedantic)
target_link_libraries(hallchute_warnings INTERFACE Threads::Threads)
