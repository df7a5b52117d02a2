"""Version and digest of the code that a process runs."""

from waxwingford.build_info._build_info import (
    BuildInfo,
    find_differing_sources,
    read_build_info,
    record_build_info,
    recorded_build_info,
)
from waxwingford.build_info._version_option import add_version_option

__all__ = (
    'BuildInfo',
    'add_version_option',
    'find_differing_sources',
    'read_build_info',
    'record_build_info',
    'recorded_build_info',
)
