# Links all libraries but the C library statically. Until a program's shared libraries are loaded,
# none of its instructions have run, and a signal whose default action is to end it does so.

# The static libraries of glog's dependencies. libgcc_eh precedes libunwind, which also defines some
# of the functions that unwind exceptions.
find_library(UNWIND_ARCHIVE libunwind.a REQUIRED)
find_library(LZMA_ARCHIVE liblzma.a REQUIRED)
set_property(TARGET glog::glog APPEND PROPERTY
  INTERFACE_LINK_LIBRARIES gcc_eh ${UNWIND_ARCHIVE} ${LZMA_ARCHIVE})

# Debian's glog is not compiled for position-independent programs.
add_link_options(-static-libstdc++ -static-libgcc -no-pie)

# Replaces the shared library of each imported target by the archive beside it, if there is one.
function(latchslip_use_archives)
  get_property(targets DIRECTORY PROPERTY IMPORTED_TARGETS)
  foreach(target ${targets})
    foreach(property IMPORTED_LOCATION IMPORTED_LOCATION_NONE IMPORTED_LOCATION_RELEASE)
      get_target_property(location ${target} ${property})
      # A shared library may have its version before the suffix, which an archive does not.
      string(REGEX REPLACE "(-[0-9.]+)?[.]so[.0-9]*$" ".a" archive "${location}")
      if(EXISTS "${archive}")
        set_property(TARGET ${target} PROPERTY ${property} "${archive}")
      endif()
    endforeach()
  endforeach()
endfunction()
